/** Reconciles one worker with its desired set: starts and stops attempts until both match. */
import { formatAttempt } from '@fuchsiatally/core'
import type {
  AttemptId, Clock, CommandReport, DesiredTask, EventLog, LeaseReport, StopCommand, WorkerDesired
} from '@fuchsiatally/core'
import type { Result } from 'neverthrow'
import type { WorkerClient, WorkerFailure } from '../ports.js'
import { taskCommandRefused, taskStartSent, taskStopSent, workerCallFailed } from './events.js'

/** Maximum number of start and stop calls in flight to one worker. */
export const MAX_CALLS_IN_FLIGHT = 8
/** Minimum interval between two calls for the same attempt, in milliseconds. */
export const CALL_RETRY_INTERVAL_MS = 1_000

/** Maximum number of starts of unknown outcome per epoch; beyond it, a new epoch is requested to fence them off. */
export const MAX_STARTS_IN_DOUBT = 32

/** Options of a worker reconciler. */
export interface WorkerReconcilerOptions {
  readonly worker: string
  readonly clock: Clock
  readonly log: EventLog
  readonly readClient: () => WorkerClient
  /** Called when no call is in flight any more; the worker's last report is then outdated. */
  readonly onIdle: () => void
  /** Called when a call was refused because of its epoch, lease or incarnation. */
  readonly onStale: (result: CommandReport['result']) => void
}

/** Desired state and reported state of the worker. */
export interface ReconcileInput {
  readonly epoch: number
  readonly workerIncarnation: string
  readonly desired: WorkerDesired
  readonly report: LeaseReport
}

/** Reconciler of one worker. */
export interface WorkerReconciler {
  reconcile: (input: ReconcileInput) => void
  /** Lists acknowledged attempts that the worker may forget, because no start call for them can still arrive. */
  listAcknowledged: (desired: WorkerDesired | null) => AttemptId[]
  /** Discards all state when the epoch changes or ends; responses to earlier calls are ignored. */
  reset: () => void
}

interface Call {
  readonly id: AttemptId
  readonly key: string
  readonly run: () => Promise<Result<CommandReport, WorkerFailure>>
  readonly isStart: boolean
}

/** Creates the reconciler of one worker. */
export function createWorkerReconciler (options: WorkerReconcilerOptions): WorkerReconciler {
  const { worker, clock, log } = options
  const inFlight = new Set<string>()
  const lastCallMs = new Map<string, number>()
  /** Attempts with a start of unknown outcome; the call may still arrive until the next epoch. */
  const startsInDoubt = new Set<string>()
  /** Attempts refused for lack of capacity. A stop call ends them at the worker, which rules out a delayed start; the scheduler then places the tasks again. */
  const withoutCapacity = new Set<string>()
  let generation = 0
  let input: ReconcileInput | null = null

  const buildStart = (current: ReconcileInput, task: DesiredTask, key: string): Call => ({
    id: task.id,
    key,
    isStart: true,
    run: () => {
      log.record(taskStartSent, { worker, epoch: current.epoch, ...task.id })
      const { id, resources, payload } = task
      return options.readClient().startTask({
        epoch: current.epoch, workerIncarnation: current.workerIncarnation, id, resources, payload
      })
    }
  })
  const buildStop = (current: ReconcileInput, id: AttemptId, key: string, mode: StopCommand['mode']): Call => ({
    id,
    key,
    isStart: false,
    run: () => {
      log.record(taskStopSent, { worker, epoch: current.epoch, mode, ...id })
      return options.readClient().stopTask({
        epoch: current.epoch, workerIncarnation: current.workerIncarnation, id, mode
      })
    }
  })
  const listCalls = (current: ReconcileInput): Call[] => {
    const { desired, report } = current
    const running = new Set(report.running.map(formatAttempt))
    const ended = new Set(report.ended.map(({ id }) => formatAttempt(id)))
    const desiredKeys = new Set<string>()
    const calls: Call[] = []
    for (const { id, checkpoint } of desired.end) {
      const key = formatAttempt(id)
      desiredKeys.add(key)
      if (!ended.has(key)) calls.push(buildStop(current, id, key, checkpoint ? 'checkpoint' : 'stop'))
    }
    for (const id of desired.keep ?? []) desiredKeys.add(formatAttempt(id))
    for (const task of desired.run) {
      const key = formatAttempt(task.id)
      if (desiredKeys.has(key)) continue
      desiredKeys.add(key)
      if (task.held === true || running.has(key) || ended.has(key)) continue
      calls.push(withoutCapacity.has(key) ? buildStop(current, task.id, key, 'stop') : buildStart(current, task, key))
    }
    for (const id of report.running) {
      const key = formatAttempt(id)
      if (!desiredKeys.has(key)) calls.push(buildStop(current, id, key, 'stop'))
    }
    dropObsolete(desiredKeys, running)
    return calls
  }
  const dropObsolete = (desiredKeys: ReadonlySet<string>, running: ReadonlySet<string>): void => {
    for (const key of lastCallMs.keys()) {
      if (!desiredKeys.has(key) && !running.has(key)) lastCallMs.delete(key)
    }
    for (const key of withoutCapacity) if (!desiredKeys.has(key)) withoutCapacity.delete(key)
  }
  const handleResponse = (call: Call, response: Result<CommandReport, WorkerFailure>): void => {
    if (response.isErr()) {
      log.record(workerCallFailed, { worker, call: call.isStart ? 'startTask' : 'stopTask', kind: response.error.kind, ...call.id })
      if (call.isStart) startsInDoubt.add(call.key)
      // Requests a new epoch, as an expired lease does.
      if (startsInDoubt.size > MAX_STARTS_IN_DOUBT) options.onStale('leaseLapsed')
      return
    }
    const { result } = response.value
    if (result === 'accepted' || result === 'ended') return
    log.record(taskCommandRefused, { worker, result, ...call.id })
    if (result === 'noRoom') {
      withoutCapacity.add(call.key)
      lastCallMs.delete(call.key)
    } else options.onStale(result)
  }
  const mayStillStart = (key: string): boolean => startsInDoubt.has(key) || inFlight.has(key)
  const runCall = async (call: Call): Promise<void> => {
    const sentGeneration = generation
    inFlight.add(call.key)
    lastCallMs.set(call.key, clock.nowMs())
    const response = await call.run()
    if (sentGeneration !== generation) return
    inFlight.delete(call.key)
    handleResponse(call, response)
    if (sentGeneration !== generation) return
    sendDue()
    if (inFlight.size === 0) options.onIdle()
  }
  const sendDue = (): void => {
    if (input === null) return
    const nowMs = clock.nowMs()
    for (const call of listCalls(input)) {
      if (inFlight.size >= MAX_CALLS_IN_FLIGHT) return
      if (inFlight.has(call.key) || nowMs - (lastCallMs.get(call.key) ?? -Infinity) < CALL_RETRY_INTERVAL_MS) continue
      runCall(call).catch(() => {})
    }
  }
  return {
    reconcile: (next) => {
      input = next
      sendDue()
    },
    listAcknowledged: (desired) => {
      if (desired === null) return []
      return desired.acknowledged.filter((id) => !mayStillStart(formatAttempt(id)))
    },
    reset: () => {
      generation += 1
      input = null
      inFlight.clear()
      lastCallMs.clear()
      startsInDoubt.clear()
      withoutCapacity.clear()
    }
  }
}
