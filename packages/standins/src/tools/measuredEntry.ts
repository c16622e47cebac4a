/** One part of an entry in a process of its own, so that its CPU and bytes can be told from those of the stand-ins. */
import { subscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import type { Vm, WorkerDesired } from '@fuchsiatally/core'
import { createSystemRandom } from '@fuchsiatally/core/testing/systemClock'
import { createHttpWorkerClient, createOwnership, createPeerMesh, createSessions, createWorkerManager } from '@fuchsiatally/entry'
import type { HeartbeatContents, LinkMesh, Ownership, SessionService } from '@fuchsiatally/entry'
import { createHttpPlatformClient } from '@fuchsiatally/table'
import { createProcessClock } from '../processClock.js'

/** What to measure. */
export interface MeasureOrder {
  readonly part: 'links' | 'workers' | 'sessions'
  readonly seconds: number
  readonly size: number
  readonly vms: readonly Vm[]
  readonly platformAddress?: string
}

/** Figures of the process while it was measured, by second where it applies. */
export interface MeasuredProcess {
  readonly cpuPercent: number
  /** Bytes of payload on its sockets. */
  readonly sentBytes: number
  readonly receivedBytes: number
  readonly calls: number
  readonly rssMb: number
}

const TASKS_PER_WORKER = 17
const NEED = { processors: 1, memoryMb: 512, accelerators: 0 }
const HEARTBEAT: HeartbeatContents = {
  leaving: false,
  slots: ['matching', 'video', 'pages'].map((service) => ({ service, free: 100, total: 192, queued: 3 })),
  configVersion: 120,
  deniedKeyIds: [],
  allotmentDemand: [{ team: 'team-12', waiting: 4 }]
}

const order = JSON.parse(process.argv[2]!) as MeasureOrder
const clock = createProcessClock()
const random = createSystemRandom()
const log = { record: (): void => {} }
const sockets = new Set<Socket>()
let closedSent = 0
let closedReceived = 0
let calls = 0

function addSocket (message: unknown): void {
  const { socket } = message as { socket: Socket }
  sockets.add(socket)
  socket.once('close', () => {
    closedSent += socket.bytesWritten
    closedReceived += socket.bytesRead
    sockets.delete(socket)
  })
}

function readBytes (): { sent: number, received: number } {
  let sent = closedSent
  let received = closedReceived
  for (const socket of sockets) {
    sent += socket.bytesWritten
    received += socket.bytesRead
  }
  return { sent, received }
}

function createMesh (): LinkMesh {
  return createPeerMesh({
    self: { entry: 'm', incarnation: 'm', failureDomain: 'a' },
    host: '127.0.0.1',
    clock,
    random,
    log,
    listSessions: () => [],
    buildHeartbeat: () => HEARTBEAT
  })
}

function buildDesired (worker: string, index: number): WorkerDesired {
  return {
    type: 'workerDesired',
    cellEpoch: 1,
    sequence: 1,
    worker,
    workerEpoch: 1,
    run: Array.from({ length: TASKS_PER_WORKER }, (_, task) => ({
      id: { job: `job-${index}-0123456789abcdef`, task, attempt: 1 }, resources: NEED, payload: '{"runMs":1000000000}'
    })),
    end: [],
    acknowledged: []
  }
}

function startWorkers (): void {
  const sessions = { incarnation: 'm', isValid: () => true } as unknown as SessionService
  const ownership = {
    readConfirmedMs: () => clock.nowMs(), updateEpoch: () => {}, recordContact: () => {}
  } as unknown as Ownership
  const liaison = createWorkerManager({
    sessions,
    clock,
    random,
    log,
    ownership,
    mesh: createMesh(),
    createClient: (address) => createHttpWorkerClient(address, { clock, log }),
    readCellEpoch: () => 1,
    findScheduler: () => 'm',
    onObserved: () => { calls += 1 }
  })
  for (const [index, vm] of order.vms.entries()) {
    liaison.handleAcquired({ vm, epoch: 1, continuous: false })
    liaison.handleDesired(buildDesired(vm.id, index), 'm')
  }
}

function startSessions (): void {
  const platform = createHttpPlatformClient({ address: order.platformAddress!, clock, random, events: log })
  const count = <T extends unknown[], R>(call: (...args: T) => R) => (...args: T): R => {
    calls += 1
    return call(...args)
  }
  const counted = { ...platform, read: count(platform.read), transact: count(platform.transact), listVms: count(platform.listVms) }
  const sessions = createSessions({
    entry: 'm', failureDomain: 'none', linkAddress: '127.0.0.1:1', httpAddress: '127.0.0.1:2', platform: counted, clock, random, log
  })
  const ownership = createOwnership({ sessions, platform: counted, clock, random, log, cellKey: 'cell/c' })
  sessions.start()
  ownership.start({ handleAcquired: () => {}, handleLost: () => {}, handleVm: () => {} })
}

async function startPart (): Promise<string> {
  if (order.part === 'links') return (await createMesh().start())._unsafeUnwrap()
  if (order.part === 'workers') startWorkers()
  else startSessions()
  return ''
}

async function measure (): Promise<MeasuredProcess> {
  const cpu = process.cpuUsage()
  const bytes = readBytes()
  const callsBefore = calls
  const startMs = clock.nowMs()
  await wait(order.seconds * 1_000)
  const seconds = (clock.nowMs() - startMs) / 1_000
  const used = process.cpuUsage(cpu)
  const after = readBytes()
  return {
    cpuPercent: (used.user + used.system) / 1e4 / seconds,
    sentBytes: (after.sent - bytes.sent) / seconds,
    receivedBytes: (after.received - bytes.received) / seconds,
    calls: (calls - callsBefore) / seconds,
    rssMb: process.memoryUsage().rss / 2 ** 20
  }
}

subscribe('net.client.socket', addSocket)
subscribe('net.server.socket', addSocket)
const address = await startPart()
process.on('message', (message: { kind: string }) => {
  if (message.kind === 'end') process.exit(0)
  else measure().then((figures) => process.send!(figures)).catch(() => process.exit(1))
})
process.send!({ address })
