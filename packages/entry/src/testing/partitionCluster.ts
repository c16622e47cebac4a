/** In-memory entries, workers and table of a partition, under one fake clock. */
import { createPartitionPlanner, type AdvicePolicy, type ClusterConfig, type Clock, type Resources, type StartOrder, type StepJob } from '@fuchsiatally/core'
import { createFakeClock, type FakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog, type MemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createTestStep, createTestStepJob } from '@fuchsiatally/core/testing/stepJobs'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { ok } from 'neverthrow'
import { createPartitionEntry, type PartitionEntry } from '../partition/partitionEntry.js'
import type { ListedWorker, PlatformRows, TableRow } from '../partition/ports.js'
import type { PeerMesh } from '../ports.js'
import { createLateProcess } from './lateProcess.js'
import { createAdviceModel } from './adviceModel.js'
import { createPartitionTableModel, type PartitionTableModel, type TableFaults } from './partitionTableModel.js'
import { createPartitionWorkerModel, type CrashedAddress, type PartitionWorkerModel, type PlannedRun, type StartedRun } from './partitionWorkerModel.js'
import { createChargedPlanner, createChargedWorkerClient, type HolderCosts } from './chargedHolder.js'
import { createFakeMesh, type FakeMesh, type FakePeerMesh } from './fakeMesh.js'

/** One entry of the cluster. */
export interface ClusterEntry {
  readonly name: string
  readonly incarnation: string
  readonly entry: PartitionEntry
  readonly faults: TableFaults
  readonly events: MemoryEventLog
  /** Blocks the event loop of this process alone. */
  block: (ms: number) => void
  /** Suspends this process: its monotonic clock stands still. */
  suspend: (ms: number) => void
  /** Kills the process without a shutdown. */
  kill: () => void
}

/** In-memory cluster of entries and workers of one partition. */
export interface PartitionCluster {
  readonly clock: FakeClock
  readonly table: PartitionTableModel
  readonly mesh: FakeMesh
  readonly workers: Map<string, PartitionWorkerModel>
  /** Every run that started at any worker. */
  readonly started: StartedRun[]
  /** @param cores processor capacity; default 1 */
  addEntry: (name: string, cores?: number) => ClusterEntry
  addWorker: (id: string, capacity?: Resources, rack?: string, service?: string) => PartitionWorkerModel
  /** Crashes a worker; it comes back at the same address, under another id unless `reusesWorkerIds` is set. */
  crashWorker: (id: string) => void
  setConfig: (config: ClusterConfig) => void
  /** Returns the entry that the table names as the holder of the partition. */
  findHolder: () => string | null
}

/** Options of a cluster. */
export interface PartitionClusterOptions {
  readonly planRun?: (order: StartOrder) => PlannedRun
  readonly maxLeaseMs?: number
  /** Whether crashed workers come back under the id that they had; default `false`. */
  readonly reusesWorkerIds?: boolean
  /** What the address of a crashed worker does with connections; `hangsUp` as a proxy before the worker; default `refuses`. */
  readonly crashedAddress?: CrashedAddress
  /** Called for each transaction; returns its duration in its part of the table, in milliseconds; default 0. */
  readonly readTransactionMs?: () => number
  /** Whether entries make calls to the table for each other; default `true`. `false`: as if the send buffers of the links were full. */
  readonly relaysTableCalls?: boolean
  /** Placement advice that the queue requires; default none. */
  readonly advice?: AdvicePolicy
  /** Processor time charged to the holder; default none. All processes share the clock, so it suits clusters with one entry. */
  readonly holderCosts?: HolderCosts
  /** Encoding of the workers' rows; default: as the product's own types. */
  readonly workerRows?: WorkerRowFormat
}

/** Encoding of the workers' rows. */
export interface WorkerRowFormat {
  readonly encodeWorker: (listing: ListedWorker) => unknown
  readonly decodeWorker: PlatformRows['decodeWorker']
}

/** The only service, after which the partition is named. */
export const SERVICE = 'pages'
const DEFAULT_MAX_LEASE_MS = 6000
/** Time for which a crashed worker is down, in milliseconds. */
const CRASH_DOWN_MS = 3200
/** Time after a crash at which the worker's row expires, in milliseconds. */
const ROW_EXPIRY_MS = 4000
const CAPACITY: Resources = { processors: 8, memoryMb: 16384, accelerators: 0 }

/** Configuration with one open queue. */
export const CLUSTER_CONFIG: ClusterConfig = {
  version: 1,
  queues: [{
    name: 'proof', host: 'cell.example', pathPrefix: '/proof/', service: SERVICE, priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 500, timeoutMs: 3000, advice: null, public: true
  }],
  services: [SERVICE],
  teams: [{ name: 'clubs', keys: ['k1'], weight: 1, ceiling: { processors: Infinity, memoryMb: Infinity, accelerators: Infinity } }],
  bodyLimitBytes: 262_144,
  idleTimeoutMs: 15_000
}

/** Builds a job with one step of identical tasks. */
export function createTestJob (clock: Clock, taskCount: number, changes: Partial<StepJob['steps'][number]> = {}, policy: Partial<StepJob['policy']> = {}): StepJob {
  const step = createTestStep({ taskCount, resources: { processors: 1, memoryMb: 1024, accelerators: 0 }, ...changes })
  return createTestStepJob([step], { queue: 'proof', service: SERVICE, priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 500, ...policy }, {
    payload: 'text', acceptedAtMs: clock.wallMs()
  })
}

const PLAIN_WORKER_ROWS: WorkerRowFormat = {
  encodeWorker: (listing) => listing,
  decodeWorker: (row) => ok(JSON.parse(row.value) as ListedWorker)
}

const CONFIG_ROWS: Omit<PlatformRows, 'decodeWorker'> = {
  configTable: 'op',
  configKey: 'config',
  workerTable: 'servers',
  decodeConfig: (row: TableRow) => JSON.parse(row.value, (_key, value: unknown) => value === 'unlimited' ? Infinity : value) as ClusterConfig
}

function encodeConfig (config: ClusterConfig): unknown {
  return JSON.parse(JSON.stringify(config, (_key, value: unknown) => value === Infinity ? 'unlimited' : value))
}

function refuseTableRequests (mesh: PeerMesh): PeerMesh {
  return { ...mesh, sendMessage: (incarnation, message) => message.type !== 'tableRequest' && mesh.sendMessage(incarnation, message) }
}

/** Creates a cluster without entries or workers. */
export function createPartitionCluster (options: PartitionClusterOptions = {}): PartitionCluster {
  const clock = createFakeClock()
  const table = createPartitionTableModel({ clock, ...(options.readTransactionMs === undefined ? {} : { readTransactionMs: options.readTransactionMs }) })
  const mesh = createFakeMesh({ clock })
  const { holderCosts, workerRows = PLAIN_WORKER_ROWS } = options
  const workers = new Map<string, PartitionWorkerModel>()
  const started: StartedRun[] = []
  let incarnationCount = 0
  let crashCount = 0
  table.writeRow('op', 'config', encodeConfig(CLUSTER_CONFIG))

  const addEntry = (name: string, cores = 1): ClusterEntry => {
    incarnationCount++
    const incarnation = `${name}-${incarnationCount}`
    const peerMesh: FakePeerMesh = mesh.addEntry({ entry: name, incarnation, failureDomain: 'a' })
    const { table: client, faults } = table.createClient()
    const process = createLateProcess(clock)
    const events = createMemoryEventLog()
    const entry = createPartitionEntry({
      self: peerMesh.self,
      linkAddress: '127.0.0.1:1',
      cores,
      table: process.wrapTable(client),
      rows: { ...CONFIG_ROWS, decodeWorker: workerRows.decodeWorker },
      bounds: { maxLeaseMs: options.maxLeaseMs ?? DEFAULT_MAX_LEASE_MS, revokeMs: 5000, statusMs: 120_000, turnMs: 3000 },
      mesh: process.wrapMesh(options.relaysTableCalls === false ? refuseTableRequests(peerMesh) : peerMesh),
      adviceClient: createAdviceModel(clock, options.advice),
      createWorkerClient: (worker) => {
        const model = workers.get(worker.id)
        if (model === undefined) throw new Error(`no worker ${worker.id}`)
        const workerClient = holderCosts === undefined ? model.createClient() : createChargedWorkerClient(model.createClient(), clock, holderCosts)
        return process.wrapWorkerClient(workerClient)
      },
      clock: process.clock,
      random: createSeededRandom(incarnationCount),
      events,
      ...(holderCosts === undefined ? {} : { createPlanner: () => createChargedPlanner(createPartitionPlanner(), clock, holderCosts) })
    })
    return {
      name,
      incarnation,
      entry,
      faults,
      events,
      block: process.block,
      suspend: process.suspend,
      kill: () => {
        // A killed process sends nothing; calls from timers that still fire must have no effect.
        faults.outage = 'silent'
        entry.dispose()
        peerMesh.dispose()
      }
    }
  }

  const addWorker = (id: string, listing: ListedWorker): PartitionWorkerModel => {
    const model = createPartitionWorkerModel({
      listing, clock, started, maxLeaseMs: options.maxLeaseMs ?? DEFAULT_MAX_LEASE_MS, planRun: options.planRun ?? (() => ({ durationMs: 1000, how: 'done' })), ticketValidityMs: options.advice?.validityMs ?? Infinity, onCrash: () => crashWorker(id)
    })
    model.faults.crashedAddress = options.crashedAddress ?? 'refuses'
    workers.set(id, model)
    table.writeRow('servers', id, workerRows.encodeWorker(listing))
    return model
  }

  const crashWorker = (id: string): void => {
    const model = workers.get(id)
    if (model === undefined) throw new Error(`no worker ${id}`)
    model.crash()
    if (options.reusesWorkerIds === true) {
      clock.setTimer(CRASH_DOWN_MS, () => {
        model.faults.refuses = false
        model.restart()
      })
      return
    }
    clock.setTimer(CRASH_DOWN_MS, () => {
      model.setReplaced()
      crashCount++
      const nextId = `${id.split('+')[0]}+${crashCount}`
      addWorker(nextId, { ...model.listing, id: nextId })
    })
    clock.setTimer(ROW_EXPIRY_MS, () => table.deleteRow('servers', id))
  }

  return {
    clock,
    table,
    mesh,
    workers,
    started,
    addEntry,
    addWorker: (id, capacity = CAPACITY, rack = 'rack', service = SERVICE) => {
      return addWorker(id, { id, service, address: `${id}:1`, failureDomain: 'a', labels: ['kind', rack], capacity, draining: false })
    },
    crashWorker,
    setConfig: (config) => table.writeRow('op', 'config', encodeConfig(config)),
    findHolder: () => {
      const row = table.readRow('cell', SERVICE, 'holder')
      return row === undefined ? null : (JSON.parse(row.value) as { entry: string }).entry
    }
  }
}
