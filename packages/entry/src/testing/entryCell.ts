/** Cell of complete entries over fakes: real sessions, ownership, scheduler role, configuration and requests, checked by an external oracle. */
import { computeHash, type ConfigDocument, type Manifest, type Vm } from '@fuchsiatally/core'
import { createFakeClock, type FakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog, type MemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { createFakePlatform, type FakePlatform } from '@fuchsiatally/table/testing/fakePlatform'
import { createTableModel, type TableModel } from '@fuchsiatally/table/testing/tableModel'
import { createEntry, type Entry } from '../process/entry.js'
import type { PeerMesh } from '../ports.js'
import { createCellEndpoints, type CellEndpoints } from './cellEndpoints.js'
import { createFakeMesh, type FakeMesh, type FakePeerMesh } from './fakeMesh.js'
import { createFakeProcess, type FakeProcess } from './fakeProcess.js'
import { createFakeWorkerClient, createWorkerLinkFaults, type WorkerLinkFaults } from './fakeWorkerClient.js'
import { createJobOracle, type JobOracle } from './jobOracle.js'
import { createWorkerModel, type WorkerModel } from './workerModel.js'

/** Size and configuration of a cell under test. */
export interface EntryCellOptions {
  readonly seed: number
  /** Failure domain of each entry, such as `['a', 'a', 'b']`. */
  readonly entryDomains: readonly string[]
  /** Failure domain of each worker. */
  readonly workerDomains: readonly string[]
  readonly manifest: Manifest
  readonly outageToleranceMs: number
  /** Rack of each worker; default one rack for all. */
  readonly racks?: readonly string[]
}

/** Current process of an entry. */
export interface CellEntry {
  readonly name: string
  readonly incarnation: string
  readonly process: FakeProcess
  readonly platform: FakePlatform
  readonly mesh: FakePeerMesh
  readonly entry: Entry
  readonly log: MemoryEventLog
  /** Link faults by worker. */
  readonly linkFaults: ReadonlyMap<string, WorkerLinkFaults>
  /** False once the process has begun to shut down or has lost its session. */
  isServing: () => boolean
}

/** A running cell. */
export interface EntryCell {
  readonly clock: FakeClock
  readonly table: TableModel
  readonly mesh: FakeMesh
  readonly workers: readonly WorkerModel[]
  readonly entries: CellEntry[]
  readonly oracle: JobOracle
  /** Runners of the manifest's services, one of each on every worker. */
  readonly endpoints: CellEndpoints
  /** Advances the clock; the oracle checks the invariants every 100 ms. */
  runFor: (ms: number) => Promise<void>
  /** Advances the clock until the promise settles. */
  waitFor: <T>(promise: Promise<T>) => Promise<T>
  /** Starts a new process of an entry and kills the previous one if it still runs. */
  startEntry: (index: number) => void
  /** Gracefully shuts an entry down. */
  stopEntry: (index: number) => Promise<void>
  /** Removes a VM permanently; the VM list reports it as gone. */
  loseVm: (worker: number) => void
  readonly lostWorkers: ReadonlySet<string>
}

const CHECK_INTERVAL_MS = 100
const HEARTBEAT_INTERVAL_MS = 1000
const RESTART_DELAY_MS = 500
/** Limit of `waitFor`: far above every call timeout, so that a call that never settles fails the test instead of hanging it. */
const WAIT_LIMIT_MS = 300_000
/** One-way delay to the platform, so that a process can be killed between a call and its effect or its response. */
const PLATFORM_DELAY_MS = 30
const CELL = 'test'

/** Creates the cell with all entries started and the manifest applied. */
export function createEntryCell (options: EntryCellOptions): EntryCell {
  const clock = createFakeClock()
  const table = createTableModel()
  const mesh = createFakeMesh({ clock })
  const workers = options.workerDomains.map((domain, index) => createWorkerModel({
    id: `w${index}-${domain}`, clock, random: createSeededRandom(options.seed + 100 + index), services: options.manifest.services.map((service) => service.name)
  }))
  const oracle = createJobOracle(clock, workers, options.manifest)
  const entries: CellEntry[] = []
  const stopped = new Set<string>()
  const lostWorkers = new Set<string>()
  const endpoints = createCellEndpoints({ clock, lostWorkers })
  let incarnationCount = 0

  const setVm = (index: number, state: Vm['state']): void => table.setVm({
    id: workers[index]!.id,
    state,
    failureDomain: options.workerDomains[index]!,
    rack: options.racks?.[index] ?? 'r',
    pool: 'p',
    address: workers[index]!.id,
    resources: workers[index]!.resources,
    runners: options.manifest.services.map((service) => ({ service: service.name, address: `${workers[index]!.id}:1` }))
  })
  for (const index of workers.keys()) setVm(index, 'live')
  const document: ConfigDocument = { version: 1, manifest: options.manifest, grants: [], revokedKeyIds: [], drainedVms: [] }
  table.transact({ writeId: 'setup', checks: [], writes: [{ key: 'config/current', value: document }] })

  const createProcess = (index: number): CellEntry => {
    incarnationCount += 1
    const name = `e${index}`
    const incarnation = `${name}.${incarnationCount}`
    const failureDomain = options.entryDomains[index]!
    const random = createSeededRandom(computeHash(`${options.seed} ${incarnation}`))
    const process = createFakeProcess(clock)
    const platform = createFakePlatform({ model: table, clock, random: createSeededRandom(options.seed + incarnationCount) })
    platform.faults.delayMs = PLATFORM_DELAY_MS
    const ownMesh = mesh.addEntry({ entry: name, incarnation, failureDomain })
    const log = createMemoryEventLog()
    const linkFaults = new Map(workers.map((worker) => [worker.id, createWorkerLinkFaults()]))
    const peerMesh: PeerMesh = process.wrapMesh(ownMesh)
    const entry = createEntry({
      clock: process.clock,
      random,
      events: log,
      platform: process.wrapPlatform(platform),
      mesh: peerMesh,
      endpoints: process.wrapEndpoints(endpoints.createClient(linkFaults)),
      createWorkerClient: (address) => {
        const model = oracle.wrapModel(workers.find((worker) => worker.id === address)!)
        return process.wrapWorker(createFakeWorkerClient({ model, clock, random, faults: linkFaults.get(address)! }))
      }
    }, {
      entry: name,
      incarnation,
      failureDomain,
      cell: CELL,
      httpAddress: '',
      linkAddress: '',
      operatorKeySha256: '0'.repeat(64),
      outageToleranceMs: options.outageToleranceMs,
      onLost: () => { restartAfterSessionLoss(incarnation) }
    })
    startHeartbeats(process, peerMesh, entry)
    entry.start()
    return { name, incarnation, process, platform, mesh: ownMesh, entry, log, linkFaults, isServing: () => !stopped.has(incarnation) }
  }

  const startHeartbeats = (process: FakeProcess, peerMesh: PeerMesh, entry: Entry): void => {
    let sequence = 0
    const sendHeartbeat = (): void => {
      sequence += 1
      peerMesh.broadcastMessage({ type: 'heartbeat', sequence, ...entry.buildHeartbeat() })
      process.clock.setTimer(HEARTBEAT_INTERVAL_MS, sendHeartbeat)
    }
    process.clock.setTimer(HEARTBEAT_INTERVAL_MS, sendHeartbeat)
  }

  const restartAfterSessionLoss = (incarnation: string): void => {
    stopped.add(incarnation)
    const index = entries.findIndex((entry) => entry.incarnation === incarnation)
    entries[index]?.entry.dispose()
    clock.setTimer(RESTART_DELAY_MS, () => {
      if (entries[index]?.incarnation === incarnation) startEntry(index)
    })
  }

  const startEntry = (index: number): void => {
    const old = entries[index]
    old?.process.kill()
    old?.mesh.dispose()
    entries[index] = createProcess(index)
  }
  for (const index of options.entryDomains.keys()) startEntry(index)

  return {
    clock,
    table,
    mesh,
    workers,
    entries,
    oracle,
    endpoints,
    startEntry,
    lostWorkers,
    loseVm: (index) => {
      const worker = workers[index]!
      worker.restart()
      lostWorkers.add(worker.id)
      oracle.recordStateLoss(worker.id)
      for (const { linkFaults } of entries) linkFaults.get(worker.id)!.unreachable = true
      setVm(index, 'gone')
    },
    stopEntry: async (index) => {
      const target = entries[index]!
      if (stopped.has(target.incarnation)) return
      stopped.add(target.incarnation)
      await target.entry.drain()
      await target.entry.release()
    },
    waitFor: async (promise) => {
      const state = { settled: false }
      const tracked = promise.finally(() => { state.settled = true })
      for (let waited = 0; !state.settled; waited += CHECK_INTERVAL_MS) {
        if (waited >= WAIT_LIMIT_MS) throw new Error(`promise did not settle within ${WAIT_LIMIT_MS} ms of simulated time`)
        await clock.runFor(CHECK_INTERVAL_MS)
      }
      return await tracked
    },
    runFor: async (ms) => {
      for (let passedMs = 0; passedMs < ms; passedMs += CHECK_INTERVAL_MS) {
        await clock.runFor(Math.min(CHECK_INTERVAL_MS, ms - passedMs))
        oracle.checkInvariants()
      }
    }
  }
}
