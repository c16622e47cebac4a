/** Cell of entries with real sessions, ownership and worker managers over fakes, checked by an oracle. */
import { computeHash, type Vm } from '@fuchsiatally/core'
import { createFakeClock, type FakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog, type MemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { err, type Result } from 'neverthrow'
import { createFakePlatform, type FakePlatform } from '@fuchsiatally/table/testing/fakePlatform'
import { createTableModel, type TableModel } from '@fuchsiatally/table/testing/tableModel'
import type { WorkerClient, WorkerFailure } from '../ports.js'
import { createSessions, type SessionService } from '../failureDomain/sessions.js'
import { createOwnership, type Ownership } from '../vm/ownership.js'
import { createWorkerManager, type WorkerManager } from '../vm/workerManager.js'
import { createFakeMesh, type FakeMesh, type FakePeerMesh } from './fakeMesh.js'
import { createFakeProcess, type FakeProcess } from './fakeProcess.js'
import { createFakeWorkerClient, createWorkerLinkFaults, type WorkerLinkFaults } from './fakeWorkerClient.js'
import { createMembershipOracle, type MembershipOracle } from './membershipOracle.js'
import { createSchedulerModel, type SchedulerTable, type SchedulerModel } from './schedulerModel.js'
import { createWorkerModel, type WorkerModel } from './workerModel.js'

/** Size and parameters of a cell under test. */
export interface MembershipCellOptions {
  readonly seed: number
  /** Failure domain of each entry, such as `['a', 'a', 'b']`. */
  readonly entryDomains: readonly string[]
  /** Failure domain of each worker. */
  readonly workerDomains: readonly string[]
  readonly taskCount: number
  /** Run time of an attempt, in milliseconds. */
  readonly runMs: number
  readonly outageToleranceMs: number
}

/** Current process of an entry. */
export interface CellEntry {
  readonly name: string
  readonly failureDomain: string
  readonly incarnation: string
  readonly process: FakeProcess
  readonly platform: FakePlatform
  readonly mesh: FakePeerMesh
  readonly sessions: SessionService
  readonly ownership: Ownership
  readonly workerManager: WorkerManager
  readonly log: MemoryEventLog
  /** Link faults by worker. */
  readonly linkFaults: ReadonlyMap<string, WorkerLinkFaults>
  /** False once the process has begun to shut down or has lost its session. */
  isServing: () => boolean
}

/** A running cell. */
export interface MembershipCell {
  readonly clock: FakeClock
  readonly table: TableModel
  readonly mesh: FakeMesh
  readonly workers: readonly WorkerModel[]
  readonly entries: CellEntry[]
  readonly oracle: MembershipOracle
  readonly schedulers: SchedulerModel[]
  /** Advances the clock; the schedulers run and the oracle checks the invariants every 200 ms. */
  runFor: (ms: number) => Promise<void>
  /** Starts a new process of an entry and kills the previous one if it still runs. */
  startEntry: (index: number) => void
  /** Gracefully shuts an entry down, with handover of its workers. */
  stopEntry: (index: number) => Promise<void>
  /** Starts a new scheduler that takes over the role; the previous one is not notified. */
  deposeScheduler: () => void
  setVmState: (worker: number, state: Vm['state']) => void
  /** Removes a VM permanently; the VM list reports it as gone. */
  loseVm: (worker: number) => void
  readonly lostWorkers: ReadonlySet<string>
}

const SCHEDULER_INTERVAL_MS = 200
const CELL_KEY = 'cell/test'

/** Creates the cell with all entries started. */
export function createMembershipCell (options: MembershipCellOptions): MembershipCell {
  const clock = createFakeClock()
  const table = createTableModel()
  const mesh = createFakeMesh({ clock })
  const schedulerTable: SchedulerTable = {
    cellEpoch: 0,
    tasks: Array.from({ length: options.taskCount }, (_, task) => ({ task, attempt: 0, worker: null, stopping: false }))
  }
  const workers = options.workerDomains.map((domain, index) => createWorkerModel({
    id: `w${index}-${domain}`, clock, random: createSeededRandom(options.seed + 100 + index)
  }))
  const oracle = createMembershipOracle(clock, workers)
  const entries: CellEntry[] = []
  const schedulers: SchedulerModel[] = []
  const schedulerNames: string[] = []
  /** Every process ever started: the oracle checks that none is in contact with a worker once it is fenced, also when it resumes from a pause. */
  const started: CellEntry[] = []
  const stopped = new Set<string>()
  const lostWorkers = new Set<string>()
  let incarnationCount = 0

  const setVm = (index: number, state: Vm['state']): void => table.setVm({
    id: workers[index]!.id,
    state,
    failureDomain: options.workerDomains[index]!,
    rack: 'r',
    pool: 'p',
    address: workers[index]!.id,
    resources: workers[index]!.resources,
    runners: []
  })
  for (const index of workers.keys()) setVm(index, 'live')

  const deposeScheduler = (): void => {
    schedulerTable.cellEpoch += 1
    const incarnation = `scheduler${schedulerTable.cellEpoch}`
    table.transact({
      writeId: incarnation,
      checks: [{ key: CELL_KEY, version: table.findRow(CELL_KEY)?.version ?? 0 }],
      writes: [{ key: CELL_KEY, value: { incarnation, epoch: schedulerTable.cellEpoch } }]
    })
    const peerMesh = mesh.addEntry({ entry: incarnation, incarnation, failureDomain: 's' })
    schedulerNames.push(incarnation)
    schedulers.push(createSchedulerModel({
      table: schedulerTable,
      cellEpoch: schedulerTable.cellEpoch,
      clock,
      random: createSeededRandom(options.seed + 1000 + schedulerTable.cellEpoch),
      mesh: peerMesh,
      workers: workers.map(({ id }) => id),
      runMs: options.runMs
    }))
  }

  const createEntry = (index: number): CellEntry => {
    incarnationCount += 1
    const name = `e${index}`
    const incarnation = `${name}.${incarnationCount}`
    const failureDomain = options.entryDomains[index]!
    const random = createSeededRandom(computeHash(`${options.seed} ${incarnation}`))
    const process = createFakeProcess(clock)
    const platform = createFakePlatform({ model: table, clock, random: createSeededRandom(options.seed + incarnationCount) })
    const ownMesh = mesh.addEntry({ entry: name, incarnation, failureDomain })
    const log = createMemoryEventLog()
    const linkFaults = new Map(workers.map((worker) => [worker.id, createWorkerLinkFaults()]))
    const common = { clock: process.clock, random, log, platform: process.wrapPlatform(platform) }
    const sessions = createSessions({
      ...common,
      entry: name,
      incarnation,
      failureDomain,
      linkAddress: '',
      httpAddress: '',
      onLost: () => restartAfterSessionLoss(entry)
    })
    const ownership = createOwnership({ ...common, sessions, cellKey: CELL_KEY })
    const createClient = (address: string): ReturnType<FakeProcess['wrapWorker']> => {
      const model = workers.find((worker) => worker.id === address)!
      const checkedModel = oracle.wrapModel(model, incarnation)
      const client = createFakeWorkerClient({ model: checkedModel, clock, random, faults: linkFaults.get(address)! })
      return process.wrapWorker(wrapWithVmLoss(client, () => lostWorkers.has(address)))
    }
    const workerManager = createWorkerManager({
      ...common,
      sessions,
      mesh: process.wrapMesh(wrapWithOracle(ownMesh, oracle)),
      ownership,
      createClient,
      outageToleranceMs: options.outageToleranceMs,
      readCellEpoch: ownership.readCellEpoch,
      findScheduler: () => schedulerNames.at(-1)!,
      onObserved: () => {}
    })
    const entry = {
      name,
      failureDomain,
      incarnation,
      process,
      platform,
      mesh: ownMesh,
      sessions,
      ownership,
      workerManager,
      log,
      linkFaults,
      isServing: () => !stopped.has(incarnation)
    }
    sessions.start()
    ownership.start(workerManager)
    return entry
  }
  const restartAfterSessionLoss = (entry: CellEntry): void => {
    stopped.add(entry.incarnation)
    // The process exits, and its supervisor restarts it.
    entry.workerManager.dispose()
    entry.ownership.stop(false).catch(() => {})
    entry.sessions.stop(false).catch(() => {})
    clock.setTimer(500, () => {
      const index = entries.indexOf(entry)
      if (index >= 0) startEntry(index)
    })
  }
  const startEntry = (index: number): void => {
    const old = entries[index]
    old?.process.kill()
    old?.mesh.dispose()
    entries[index] = createEntry(index)
    started.push(entries[index])
  }
  deposeScheduler()
  for (const index of options.entryDomains.keys()) startEntry(index)

  return {
    clock,
    table,
    mesh,
    workers,
    entries,
    oracle,
    schedulers,
    startEntry,
    deposeScheduler,
    setVmState: setVm,
    lostWorkers,
    loseVm: (index) => {
      const worker = workers[index]!
      worker.restart()
      lostWorkers.add(worker.id)
      setVm(index, 'gone')
    },
    stopEntry: async (index) => {
      const entry = entries[index]!
      if (stopped.has(entry.incarnation)) return
      stopped.add(entry.incarnation)
      entry.sessions.setLeaving()
      await entry.ownership.stop(true)
      entry.workerManager.dispose()
      await entry.sessions.stop(true)
    },
    runFor: async (ms) => {
      for (let passedMs = 0; passedMs < ms; passedMs += SCHEDULER_INTERVAL_MS) {
        await clock.runFor(Math.min(SCHEDULER_INTERVAL_MS, ms - passedMs))
        for (const scheduler of schedulers.slice(-2)) scheduler.runCycle()
        oracle.checkInvariants()
        oracle.recordFenced(started)
      }
    }
  }
}

/** Wraps a client so that every call fails once the VM is gone. */
function wrapWithVmLoss (client: WorkerClient, isLost: () => boolean): WorkerClient {
  const refuse = async (): Promise<Result<never, WorkerFailure>> => err({ kind: 'unreachable', message: 'the VM is gone' })
  return {
    renewLease: (command) => isLost() ? refuse() : client.renewLease(command),
    startTask: (command) => isLost() ? refuse() : client.startTask(command),
    stopTask: (command) => isLost() ? refuse() : client.stopTask(command)
  }
}

/** Wraps a mesh so that the oracle records each worker report as it leaves the process, before the network delay. */
function wrapWithOracle (mesh: FakePeerMesh, oracle: MembershipOracle): FakePeerMesh {
  return {
    ...mesh,
    sendMessage: (incarnation, message) => {
      if (message.type === 'workerObserved') oracle.recordObserved(message)
      return mesh.sendMessage(incarnation, message)
    }
  }
}
