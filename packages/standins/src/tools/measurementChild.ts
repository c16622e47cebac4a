/** Runs one component of an entry in a child process, so that its CPU time and traffic are measured apart from the stand-ins. */
import { subscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import type { Vm, WorkerDesired } from '@fuchsiatally/core'
import { createSystemRandom } from '@fuchsiatally/core/testing/systemClock'
import { createHttpWorkerClient, createOwnership, createPeerMesh, createSessions, createWorkerManager } from '@fuchsiatally/entry'
import type { HeartbeatContents, LinkMesh, Ownership, SessionService } from '@fuchsiatally/entry'
import { createHttpPlatformClient } from '@fuchsiatally/table'
import { createProcessClock } from '../processClock.js'

export interface MeasurementRequest {
  readonly part: 'links' | 'workers' | 'sessions'
  readonly seconds: number
  readonly size: number
  readonly vms: readonly Vm[]
  readonly platformAddress?: string
}

/** Resource use of the child process: CPU as a percentage of one core, bytes and calls per second, and resident memory at the end. */
export interface ProcessMeasurement {
  readonly cpuPercent: number
  /** Payload bytes per second on its sockets, without TCP/IP headers. */
  readonly sentBytes: number
  readonly receivedBytes: number
  readonly calls: number
  readonly rssMb: number
}

const TASKS_PER_WORKER = 17
const TASK_RESOURCES = { processors: 1, memoryMb: 512, accelerators: 0 }
const HEARTBEAT: HeartbeatContents = {
  leaving: false,
  slots: ['matching', 'video', 'pages'].map((service) => ({ service, free: 100, total: 192, queued: 3 })),
  configVersion: 120,
  deniedKeyIds: [],
  allotmentDemand: [{ team: 'team-12', waiting: 4 }]
}

const measurementRequest = JSON.parse(process.argv[2]!) as MeasurementRequest
const clock = createProcessClock()
const random = createSystemRandom()
const log = { record: (): void => {} }
const sockets = new Set<Socket>()
let closedSentBytes = 0
let closedReceivedBytes = 0
let calls = 0

function addSocket (message: unknown): void {
  const { socket } = message as { socket: Socket }
  sockets.add(socket)
  socket.once('close', () => {
    closedSentBytes += socket.bytesWritten
    closedReceivedBytes += socket.bytesRead
    sockets.delete(socket)
  })
}

function readTraffic (): { sent: number, received: number } {
  let sent = closedSentBytes
  let received = closedReceivedBytes
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
      id: { job: `job-${index}-0123456789abcdef`, task, attempt: 1 }, resources: TASK_RESOURCES, payload: '{"runMs":1000000000}'
    })),
    end: [],
    acknowledged: []
  }
}

function startWorkers (): void {
  const sessions = { incarnation: 'm', isValid: () => true } as unknown as SessionService
  const ownership = {
    readConfirmedMs: () => clock.nowMs(), requestEpoch: () => {}, recordContact: () => {}
  } as unknown as Ownership
  const manager = createWorkerManager({
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
  for (const [index, vm] of measurementRequest.vms.entries()) {
    manager.handleAcquired({ vm, epoch: 1, continuous: false })
    manager.handleDesired(buildDesired(vm.id, index), 'm')
  }
}

function startSessions (): void {
  const platform = createHttpPlatformClient({ address: measurementRequest.platformAddress!, clock, random, events: log })
  const countCalls = <T extends unknown[], R>(call: (...args: T) => R) => (...args: T): R => {
    calls += 1
    return call(...args)
  }
  const countingPlatform = { ...platform, read: countCalls(platform.read), transact: countCalls(platform.transact), listVms: countCalls(platform.listVms) }
  const sessions = createSessions({
    entry: 'm', failureDomain: 'none', linkAddress: '127.0.0.1:1', httpAddress: '127.0.0.1:2', platform: countingPlatform, clock, random, log
  })
  const ownership = createOwnership({ sessions, platform: countingPlatform, clock, random, log, cellKey: 'cell/c' })
  sessions.start()
  ownership.start({ handleAcquired: () => {}, handleLost: () => {}, handleVmChange: () => {} })
}

async function startPart (): Promise<string> {
  if (measurementRequest.part === 'links') return (await createMesh().start())._unsafeUnwrap()
  if (measurementRequest.part === 'workers') startWorkers()
  else startSessions()
  return ''
}

async function measureProcess (): Promise<ProcessMeasurement> {
  const cpuBefore = process.cpuUsage()
  const trafficBefore = readTraffic()
  const callsBefore = calls
  const startMs = clock.nowMs()
  await wait(measurementRequest.seconds * 1_000)
  const seconds = (clock.nowMs() - startMs) / 1_000
  const cpuUsed = process.cpuUsage(cpuBefore)
  const trafficAfter = readTraffic()
  return {
    cpuPercent: (cpuUsed.user + cpuUsed.system) / 1e4 / seconds,
    sentBytes: (trafficAfter.sent - trafficBefore.sent) / seconds,
    receivedBytes: (trafficAfter.received - trafficBefore.received) / seconds,
    calls: (calls - callsBefore) / seconds,
    rssMb: process.memoryUsage().rss / 2 ** 20
  }
}

subscribe('net.client.socket', addSocket)
subscribe('net.server.socket', addSocket)
const address = await startPart()
process.on('message', (message: { kind: string }) => {
  if (message.kind === 'end') process.exit(0)
  else measureProcess().then((measurement) => process.send!(measurement)).catch(() => process.exit(1))
})
process.send!({ address })
