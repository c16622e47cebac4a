/** Starts and stops attempts at one worker until it runs what is desired. */
import { formatAttempt } from '@fuchsiatally/core'
import type {
  AttemptId, Clock, CommandReport, DesiredTask, EventLog, LeaseReport, StopCommand, WorkerDesired
} from '@fuchsiatally/core'
import type { Result } from 'neverthrow'
import type { WorkerClient, WorkerFailure } from '../ports.js'
import { taskStartRefused, taskStartSent, taskStopSent, workerCallFailed } from './events.js'

/** Most start and stop calls in flight at one worker. */
export const MAX_CALLS_IN_FLIGHT = 8
/** Least time between two calls for the same attempt, in milliseconds. */
export const CALL_RETRY_MS = 1_000

/** Starts given up under one epoch before the next one is taken, which shuts them out. */
export const MAX_UNANSWERED_STARTS = 32

/** Options of a worker's commands. */
export interface WorkerCommandsOptions {
  readonly worker: string
  readonly clock: Clock
  readonly log: EventLog
  readonly readClient: () => WorkerClient
  /** Calls were answered and none is left: the worker's report is out of date. */
  readonly onSettled: () => void
  /** A call was refused for the epoch, lease or incarnation that it named. */
  readonly onStale: (result: CommandReport['result']) => void
}

/** What the worker shall run and what it reports. */
export interface ReconcileInput {
  readonly epoch: number
  readonly workerIncarnation: string
  readonly desired: WorkerDesired
  readonly report: LeaseReport
}

/** Commands to one worker. */
export interface WorkerCommands {
  reconcile: (input: ReconcileInput) => void
  /** Ended attempts that the worker may forget: no start for them can still be on its way. */
  listAcknowledged: (desired: WorkerDesired | null) => AttemptId[]
  /** The epoch changed or ended; answers to earlier calls no longer count. */
  reset: () => void
}

interface Call {
  readonly id: AttemptId
  readonly key: string
  readonly run: () => Promise<Result<CommandReport, WorkerFailure>>
  readonly isStart: boolean
}

/** Creates the commands of one worker. */
export function createWorkerCommands (options: WorkerCommandsOptions): WorkerCommands {
  const { worker, clock, log } = options
  const inFlight = new Set<string>()
  const lastCallMs = new Map<string, number>()
  /** Attempts with a start that was given up: it may arrive at any time until the next epoch. */
  const unanswered = new Set<string>()
  /** Attempts that the worker has no room for: their start is forbidden, so that the scheduler places them anew. */
  const unfit = new Set<string>()
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
    const wanted = new Set<string>()
    const calls: Call[] = []
    for (const { id, checkpoint } of desired.end) {
      const key = formatAttempt(id)
      wanted.add(key)
      if (!ended.has(key)) calls.push(buildStop(current, id, key, checkpoint ? 'checkpoint' : 'stop'))
    }
    for (const id of desired.keep ?? []) wanted.add(formatAttempt(id))
    for (const task of desired.run) {
      const key = formatAttempt(task.id)
      if (wanted.has(key)) continue
      wanted.add(key)
      if (task.held === true || running.has(key) || ended.has(key)) continue
      calls.push(unfit.has(key) ? buildStop(current, task.id, key, 'stop') : buildStart(current, task, key))
    }
    for (const id of report.running) {
      const key = formatAttempt(id)
      if (!wanted.has(key)) calls.push(buildStop(current, id, key, 'stop'))
    }
    dropUnknown(wanted, running)
    return calls
  }
  const dropUnknown = (wanted: ReadonlySet<string>, running: ReadonlySet<string>): void => {
    for (const key of lastCallMs.keys()) {
      if (!wanted.has(key) && !running.has(key)) lastCallMs.delete(key)
    }
    for (const key of unfit) if (!wanted.has(key)) unfit.delete(key)
  }
  const handleAnswer = (call: Call, answer: Result<CommandReport, WorkerFailure>): void => {
    if (answer.isErr()) {
      log.record(workerCallFailed, { worker, call: call.isStart ? 'startTask' : 'stopTask', kind: answer.error.kind, ...call.id })
      if (call.isStart) unanswered.add(call.key)
      if (unanswered.size > MAX_UNANSWERED_STARTS) options.onStale('leaseLapsed')
      return
    }
    const { result } = answer.value
    if (result === 'accepted' || result === 'ended') return
    log.record(taskStartRefused, { worker, result, ...call.id })
    if (result === 'noRoom') {
      unfit.add(call.key)
      lastCallMs.delete(call.key)
    } else options.onStale(result)
  }
  const mayStillStart = (key: string): boolean => unanswered.has(key) || inFlight.has(key)
  const runCall = async (call: Call): Promise<void> => {
    const sentGeneration = generation
    inFlight.add(call.key)
    lastCallMs.set(call.key, clock.nowMs())
    const answer = await call.run()
    if (sentGeneration !== generation) return
    inFlight.delete(call.key)
    handleAnswer(call, answer)
    if (sentGeneration !== generation) return
    sendDue()
    if (inFlight.size === 0) options.onSettled()
  }
  const sendDue = (): void => {
    if (input === null) return
    const nowMs = clock.nowMs()
    for (const call of listCalls(input)) {
      if (inFlight.size >= MAX_CALLS_IN_FLIGHT) return
      if (inFlight.has(call.key) || nowMs - (lastCallMs.get(call.key) ?? -Infinity) < CALL_RETRY_MS) continue
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
      unanswered.clear()
      unfit.clear()
    }
  }
}
