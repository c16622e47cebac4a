/** `npm run measure`: CPU and network cost of peer links, worker leases, and sessions with worker ownership, at several sizes. */
import { type ChildProcess, fork } from 'node:child_process'
import { once } from 'node:events'
import { setTimeout as wait } from 'node:timers/promises'
import type { Vm } from '@fuchsiatally/core'
import { createSystemRandom } from '@fuchsiatally/core/testing/systemClock'
import { createPeerMesh, type LinkMesh } from '@fuchsiatally/entry'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { startPlatformServer } from '../platformServer.js'
import { createProcessClock } from '../processClock.js'
import { startWorkerHost } from '../workerHost.js'
import { measureCodec } from './measureCodec.js'
import type { ProcessMeasurement, MeasurementRequest } from './measurementChild.js'

const RESOURCES = { processors: 16, memoryMb: 65_536, accelerators: 0 }
const SESSION_RENEWAL_INTERVAL_MS = 2_000

/** Resource use of one part of an entry at one size. */
interface Measurement extends ProcessMeasurement {
  readonly part: string
  readonly size: number
}

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run measure --')
  .option('part', { choices: ['codec', 'links', 'workers', 'sessions'] as const, array: true, describe: 'parts to measure (default: all)' })
  .option('seconds', { type: 'number', default: 8, describe: 'duration of each measurement' })
  .option('sizes', { type: 'number', array: true, describe: 'numbers of peers, workers or VMs (defaults depend on the part)' })
  .option('json', { type: 'boolean', default: false, describe: 'print all results as JSON' })
  .example('npm run measure -- --part workers --sizes 31 62 124', 'measure lease renewal at three sizes')
  .strict()
  .parseAsync()

async function measureChild (request: MeasurementRequest, prepare: (child: ChildProcess, address: string) => Promise<void>): Promise<ProcessMeasurement> {
  const child = fork(new URL('./measurementChild.js', import.meta.url), [JSON.stringify(request)])
  const [{ address }] = await once(child, 'message') as [{ address: string }]
  await prepare(child, address)
  child.send({ kind: 'measure' })
  const [measurement] = await once(child, 'message') as [ProcessMeasurement]
  child.send({ kind: 'end' })
  await once(child, 'exit')
  return measurement
}

async function measureLinks (size: number): Promise<ProcessMeasurement> {
  const meshes: LinkMesh[] = []
  const measurement = await measureChild({ part: 'links', seconds: options.seconds, size, vms: [] }, async (_, address) => {
    for (let i = 0; i < size; i += 1) {
      const session = {
        entry: 'm', incarnation: 'm', failureDomain: 'a', linkAddress: address, httpAddress: '', leaving: false, configVersion: 1, expired: false
      }
      const mesh = createPeerMesh({
        self: { entry: `a${i}`, incarnation: `a${i}`, failureDomain: 'a' },
        host: '127.0.0.1',
        clock: createProcessClock(),
        random: createSystemRandom(),
        log: { record: () => {} },
        listSessions: () => [session]
      })
      await mesh.start()
      meshes.push(mesh)
    }
    while (meshes.some((mesh) => mesh.listPeers().length === 0)) await wait(50)
  })
  for (const mesh of meshes) await mesh.stop()
  return measurement
}

async function measureWorkers (size: number): Promise<ProcessMeasurement> {
  const host = await startWorkerHost(Array.from({ length: size }, (_, i) => ({
    id: `worker-vm-${i}`, failureDomain: 'a', rack: 'r1', pool: 'pages', resources: { ...RESOURCES, processors: 64 }, services: ['pages']
  })))
  const measurement = await measureChild({ part: 'workers', seconds: options.seconds, size, vms: host.vms }, () => wait(4_000))
  await host.stop()
  return measurement
}

function buildVms (count: number): Vm[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `worker-vm-${i}`,
    state: 'live',
    failureDomain: `domain-${i % 8}`,
    rack: `rack-${i % 32}`,
    pool: 'pages',
    address: `127.0.0.1:${20_000 + i}`,
    resources: RESOURCES,
    runners: [{ service: 'pages', address: `127.0.0.1:${30_000 + i}` }]
  }))
}

/** Measures sessions and ownership with six other entries, or one for every 40 VMs if that is more. */
async function measureSessions (size: number): Promise<ProcessMeasurement> {
  const platform = await startPlatformServer()
  const vms = buildVms(size)
  for (const vm of vms) platform.model.setVm(vm)
  const writeRow = (key: string, value: unknown): void => {
    platform.model.transact({ writeId: 'w', checks: [], writes: [{ key, value }] })
  }
  const entries = Array.from({ length: Math.max(6, Math.ceil(size / 40)) }, (_, i) => i)
  const renewSessions = (): void => {
    for (const i of entries) {
      writeRow(`session/entry-${i}`, {
        incarnation: `incarnation-${i}`, failureDomain: `domain-${i % 8}`, linkAddress: '127.0.0.1:1', httpAddress: '127.0.0.1:2', leaving: false, configVersion: 1
      })
    }
  }
  for (const [i, vm] of vms.entries()) {
    writeRow(`owner/${vm.id}`, { incarnation: `incarnation-${i % entries.length}`, epoch: 1, unfenced: [] })
  }
  renewSessions()
  const renewalTimer = setInterval(renewSessions, SESSION_RENEWAL_INTERVAL_MS)
  const request = { part: 'sessions' as const, seconds: options.seconds, size, vms: [], platformAddress: platform.address }
  const measurement = await measureChild(request, () => wait(4_000))
  clearInterval(renewalTimer)
  await platform.stop()
  return measurement
}

const PARTS = {
  links: { measure: measureLinks, sizes: [0, 8, 16, 32] },
  workers: { measure: measureWorkers, sizes: [0, 31, 62, 124] },
  sessions: { measure: measureSessions, sizes: [33, 248, 495, 990] }
}

const measurements: Measurement[] = []
for (const part of options.part ?? ['codec', 'links', 'workers', 'sessions'] as const) {
  if (part === 'codec') {
    console.log(measureCodec().map(({ message, bytes, encodeUs, decodeUs }) =>
      `${message.padEnd(28)} ${bytes} B  encode ${encodeUs.toFixed(1)} us  decode ${decodeUs.toFixed(1)} us`).join('\n'))
    continue
  }
  for (const size of options.sizes ?? PARTS[part].sizes) {
    const measurement = await PARTS[part].measure(size)
    measurements.push({ part, size, ...measurement })
    if (options.json) continue
    const { cpuPercent, sentBytes, receivedBytes, calls, rssMb } = measurement
    console.log(`${part.padEnd(9)} ${String(size).padStart(4)}  cpu ${cpuPercent.toFixed(2)} %  sent ${Math.round(sentBytes)} B/s  ` +
      `received ${Math.round(receivedBytes)} B/s  calls ${calls.toFixed(1)} /s  RSS ${rssMb.toFixed(0)} MB`)
  }
}
if (options.json) console.log(JSON.stringify(measurements, null, 2))

// Open listeners of the stand-ins keep the event loop alive.
process.exit(0)
