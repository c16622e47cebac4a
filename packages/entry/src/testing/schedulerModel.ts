/** Minimal scheduler that starts a new attempt of a task only after the previous one is known to have ended. */
import { formatAttempt } from '@fuchsiatally/core'
import type { AttemptId, Clock, Random, WorkerDesired, WorkerObserved } from '@fuchsiatally/core'
import type { PeerMesh } from '../ports.js'

/** Table row of one task, shared by all schedulers. */
export interface SchedulerTask {
  readonly task: number
  attempt: number
  /** Worker of the current attempt; `null` between attempts. */
  worker: string | null
  stopping: boolean
}

/** Table rows of the tasks and of the scheduler role. */
export interface SchedulerTable {
  readonly tasks: SchedulerTask[]
  cellEpoch: number
}

/** Options of a scheduler. */
export interface SchedulerModelOptions {
  readonly table: SchedulerTable
  readonly cellEpoch: number
  readonly clock: Clock
  readonly random: Random
  readonly mesh: PeerMesh
  readonly workers: readonly string[]
  /** Run time of an attempt, in milliseconds. */
  readonly runMs: number
}

interface KnownWorker {
  owner: string
  observed: WorkerObserved
  observedAtMs: number
}

const RESOURCES = { processors: 1, memoryMb: 1, accelerators: 0 }
const REPORT_EXPIRY_MS = 12_500
const RESEND_INTERVAL_MS = 1_000

/** A scheduler; a deposed one cannot commit but keeps sending its last committed state. */
export interface SchedulerModel {
  /** Runs one cycle: places tasks, commits and sends; to be called periodically. */
  runCycle: () => void
  /** Stops the current attempt of a task; a new attempt follows on any reachable worker. */
  stopTask: (task: number) => void
  /** Whether every task runs as its table row says, on a worker reported as reachable. */
  hasAllTasksRunning: () => boolean
}

/** Creates a scheduler and registers its receivers. */
export function createSchedulerModel (options: SchedulerModelOptions): SchedulerModel {
  const { table, clock, random, mesh } = options
  const knownWorkers = new Map<string, KnownWorker>()
  const acknowledged = new Map<string, Map<string, AttemptId>>()
  const committedTasks: SchedulerTask[] = []
  const lastSent = new Map<string, { text: string, atMs: number }>()
  let sequence = 0

  const isDeposed = (): boolean => table.cellEpoch !== options.cellEpoch
  const findTask = (id: AttemptId, worker: string): SchedulerTask | undefined =>
    table.tasks.find((task) => task.task === id.task && task.attempt === id.attempt && task.worker === worker)
  const endAttempt = (task: SchedulerTask): void => {
    task.worker = null
    task.stopping = false
  }
  const recordEnds = (observed: WorkerObserved): void => {
    const acks = new Map<string, AttemptId>()
    for (const { id } of observed.ended) {
      const task = findTask(id, observed.worker)
      if (task !== undefined) endAttempt(task)
      acks.set(formatAttempt(id), id)
    }
    acknowledged.set(observed.worker, acks)
  }
  const recordObserved = (observed: WorkerObserved, owner: string): void => {
    const current = knownWorkers.get(observed.worker)
    if (current !== undefined && observed.workerEpoch < current.observed.workerEpoch) return
    knownWorkers.set(observed.worker, { owner, observed, observedAtMs: clock.nowMs() })
    if (isDeposed()) return
    if (observed.state === 'lost') {
      for (const task of table.tasks) if (task.worker === observed.worker) endAttempt(task)
    }
    recordEnds(observed)
  }
  const isReachable = (worker: string): boolean => {
    const current = knownWorkers.get(worker)
    if (current === undefined || current.observed.state !== 'reachable') return false
    return clock.nowMs() - current.observedAtMs < REPORT_EXPIRY_MS
  }
  const placeTasks = (): void => {
    const reachable = options.workers.filter(isReachable)
    if (reachable.length === 0) return
    for (const task of table.tasks) {
      if (task.worker !== null) continue
      task.attempt += 1
      task.worker = reachable[Math.floor(random.nextFloat() * reachable.length)]!
    }
  }
  const sendDesired = (worker: string, { owner, observed }: KnownWorker): void => {
    const own = committedTasks.filter((task) => task.worker === worker)
    const toAttemptId = ({ task, attempt }: SchedulerTask): AttemptId => ({ job: 'j', task, attempt })
    const message: WorkerDesired = {
      type: 'workerDesired',
      cellEpoch: options.cellEpoch,
      sequence: 0,
      worker,
      workerEpoch: observed.workerEpoch,
      run: own.filter((task) => !task.stopping)
        .map((task) => ({ id: toAttemptId(task), resources: RESOURCES, payload: JSON.stringify({ runMs: options.runMs }) })),
      end: own.filter((task) => task.stopping).map((task) => ({ id: toAttemptId(task), checkpoint: false })),
      acknowledged: [...acknowledged.get(worker)?.values() ?? []]
    }
    const text = JSON.stringify([owner, message])
    const last = lastSent.get(worker)
    if (last?.text === text && clock.nowMs() - last.atMs < RESEND_INTERVAL_MS) return
    lastSent.set(worker, { text, atMs: clock.nowMs() })
    sequence += 1
    mesh.sendMessage(owner, { ...message, sequence })
  }
  mesh.onMessage('workerObserved', (message, from) => recordObserved(message, from.incarnation))
  return {
    runCycle: () => {
      if (!isDeposed()) {
        placeTasks()
        committedTasks.splice(0, committedTasks.length, ...structuredClone(table.tasks))
      }
      for (const [worker, current] of knownWorkers) sendDesired(worker, current)
    },
    stopTask: (index) => {
      const task = table.tasks[index]
      if (task !== undefined && task.worker !== null && !isDeposed()) task.stopping = true
    },
    hasAllTasksRunning: () => table.tasks.every(({ task, attempt, worker, stopping }) =>
      worker !== null && !stopping && knownWorkers.get(worker)?.observed.state === 'reachable' &&
      knownWorkers.get(worker)!.observed.running.some((id) => id.task === task && id.attempt === attempt))
  }
}
