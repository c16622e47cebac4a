/** In-memory model of a worker VM: leases with epochs, tasks and reports. */
import {
  type AttemptId, type Clock, type CommandReport, type EndedTask, formatAttempt, hasRoomFor, type LeaseCommand,
  type LeaseReport, NO_RESOURCES, addResources, type Random, type Resources, type StartCommand,
  type StopCommand, subtractResources, type TaskUsage, type Disposable
} from '@fuchsiatally/core'
import { decideTaskRun, type WorkerFaults, createWorkerFaults } from './workerFaults.js'

export interface WorkerModelOptions {
  readonly id: string
  readonly clock: Clock
  readonly random: Random
  /** Default 16 processors, 65536 MB, no accelerators. */
  readonly resources?: Resources
  /** Services with a runner on this worker; default none. */
  readonly services?: readonly string[]
  /** Run time of a task whose payload sets none, in milliseconds; default 1000. */
  readonly defaultRunMs?: number
  /** Delay of the reported usage, in milliseconds; default 2000. */
  readonly usageLagMs?: number
  /** Initial value of the worker's own clock; random by default, so that the clocks of workers differ. */
  readonly clockStartMs?: number
}

/** One run of an attempt; never deleted, so that an oracle can check it. */
export interface TaskRun {
  readonly worker: string
  readonly id: AttemptId
  readonly resources: Resources
  readonly startedAtMs: number
  /** `undefined` while the task runs; a restart of the worker also ends the run. */
  endedAtMs: number | undefined
  result: EndedTask['result'] | 'restarted' | undefined
}

/** Model of one worker VM. */
export interface WorkerModel {
  readonly id: string
  readonly resources: Resources
  readonly faults: WorkerFaults
  renewLease: (command: LeaseCommand) => { readonly refused: false, readonly report: LeaseReport } | { readonly refused: true, readonly epoch: number }
  startTask: (command: StartCommand) => CommandReport
  stopTask: (command: StopCommand) => CommandReport
  /** Ends all tasks without reporting them and clears epoch, lease and history, as a replaced process would. */
  restart: () => void
  /** All runs since the model was created, oldest first. */
  listRuns: () => readonly TaskRun[]
  /** Runs that have not ended. */
  listRunning: () => readonly TaskRun[]
  /** Sets the number of busy slots that the runner of a service reports. */
  setBusy: (service: string, busy: number) => void
  readClockMs: () => number
  /** Changes with each restart. */
  readIncarnation: () => string
}

interface RunningTask {
  readonly run: TaskRun
  timer: Disposable
  /** Time at which the task ends unless it is stopped. */
  dueMs: number
}

const MIN_TIMER_MS = 1
const DEFAULT_RESOURCES: Resources = { processors: 16, memoryMb: 65536, accelerators: 0 }
const MAX_CLOCK_START_MS = 1e9

/** Creates a worker that has just started. */
export function createWorkerModel (options: WorkerModelOptions): WorkerModel {
  const { id, clock, random } = options
  const resources = options.resources ?? DEFAULT_RESOURCES
  const usageLagMs = options.usageLagMs ?? 2000
  const faults = createWorkerFaults()
  const clockOffsetMs = (options.clockStartMs ?? Math.floor(random.nextFloat() * MAX_CLOCK_START_MS)) - clock.nowMs()
  const runs: TaskRun[] = []
  const busy = new Map((options.services ?? []).map((service) => [service, 0]))
  const running = new Map<string, RunningTask>()
  const ended = new Map<string, EndedTask>()
  const tombstones = new Set<string>()
  let incarnation = random.nextId()
  let epoch = 0
  /** Highest epoch whose lease expired; a new lease requires a higher one. */
  let expiredEpoch = -1
  let notAfterMs = 0
  let hasLease = false
  let leaseTimer: Disposable = { dispose: () => {} }

  const readClockMs = (): number => clock.nowMs() + clockOffsetMs

  const endTask = (key: string, result: EndedTask['result']): void => {
    const task = running.get(key)
    if (task === undefined) return
    running.delete(key)
    task.timer.dispose()
    task.run.endedAtMs = clock.nowMs()
    task.run.result = result
    tombstones.add(key)
    ended.set(key, { id: task.run.id, result, ranMs: task.run.endedAtMs - task.run.startedAtMs })
  }

  const checkLeaseExpiry = (): void => {
    if (!hasLease || readClockMs() < notAfterMs) return
    hasLease = false
    expiredEpoch = epoch
    for (const key of [...running.keys()]) endTask(key, 'lapsed')
  }

  const setLeaseTimer = (): void => {
    leaseTimer.dispose()
    // Timer granularity and rounding of sums may fire the timer just before the lease ends.
    leaseTimer = clock.setTimer(Math.max(MIN_TIMER_MS, notAfterMs - readClockMs()), () => {
      if (hasLease && readClockMs() < notAfterMs) setLeaseTimer()
      else checkLeaseExpiry()
    })
  }

  const createReport = (): LeaseReport => ({
    workerIncarnation: incarnation,
    epoch,
    clockMs: readClockMs(),
    leaseNotAfterMs: notAfterMs,
    running: [...running.values()].map((task) => task.run.id),
    ended: [...ended.values()],
    usage: listUsage([...running.values()].map((task) => task.run), clock.nowMs() - usageLagMs, faults.usageFactor),
    runners: [...busy].map(([service, count]) => ({ service, busy: count }))
  })

  const renewLease: WorkerModel['renewLease'] = (command) => {
    checkLeaseExpiry()
    if (command.epoch < epoch) return { refused: true, epoch }
    epoch = command.epoch
    for (const acknowledged of command.acknowledged) ended.delete(formatAttempt(acknowledged))
    const isCurrentIncarnation = command.workerIncarnation === incarnation
    if (isCurrentIncarnation && expiredEpoch < epoch && command.notAfterMs > notAfterMs && command.notAfterMs > readClockMs()) {
      notAfterMs = command.notAfterMs
      hasLease = true
      setLeaseTimer()
    }
    return { refused: false, report: createReport() }
  }

  const scheduleEnd = (key: string, runMs: number, result: 'completed' | 'failed'): RunningTask['timer'] => {
    return clock.setTimer(runMs, () => endTask(key, result))
  }

  const startTask = (command: StartCommand): CommandReport => {
    checkLeaseExpiry()
    const key = formatAttempt(command.id)
    if (command.workerIncarnation !== incarnation) return { result: 'otherIncarnation' }
    if (command.epoch < epoch) return { result: 'staleEpoch' }
    if (tombstones.has(key)) return { result: 'ended' }
    if (running.has(key)) return { result: 'accepted' }
    if (command.epoch > epoch || !hasLease) return { result: 'leaseLapsed' }
    if (!hasRoomFor(computeFreeResources(resources, running.values()), command.resources)) return { result: 'noRoom' }
    const { runMs, result } = decideTaskRun(command.payload, options.defaultRunMs ?? 1000, faults)
    const run = { worker: id, id: command.id, resources: command.resources, startedAtMs: clock.nowMs(), endedAtMs: undefined, result: undefined }
    runs.push(run)
    running.set(key, { run, timer: scheduleEnd(key, runMs, result), dueMs: clock.nowMs() + runMs })
    return { result: 'accepted' }
  }

  const stopTask = (command: StopCommand): CommandReport => {
    checkLeaseExpiry()
    const key = formatAttempt(command.id)
    if (command.workerIncarnation !== incarnation) return { result: 'otherIncarnation' }
    if (command.epoch < epoch) return { result: 'staleEpoch' }
    const task = running.get(key)
    if (task !== undefined && command.mode === 'throttle') {
      // Throttling halves the speed, so the remaining run time doubles.
      task.timer.dispose()
      task.dueMs += task.dueMs - clock.nowMs()
      task.timer = scheduleEnd(key, task.dueMs - clock.nowMs(), 'completed')
      return { result: 'accepted' }
    }
    if (task !== undefined) {
      endTask(key, 'stopped')
      return { result: 'accepted' }
    }
    if (tombstones.has(key)) return { result: 'ended' }
    if (command.mode === 'throttle') return { result: 'accepted' }
    tombstones.add(key)
    ended.set(key, { id: command.id, result: 'refused', ranMs: 0 })
    return { result: 'accepted' }
  }

  const restart = (): void => {
    for (const key of [...running.keys()]) {
      const task = running.get(key)!
      endTask(key, 'failed')
      task.run.result = 'restarted'
    }
    leaseTimer.dispose()
    ended.clear()
    tombstones.clear()
    incarnation = random.nextId()
    epoch = 0
    expiredEpoch = -1
    notAfterMs = 0
    hasLease = false
    for (const service of busy.keys()) busy.set(service, 0)
  }

  return {
    id,
    resources,
    faults,
    renewLease,
    startTask,
    stopTask,
    restart,
    listRuns: () => runs,
    listRunning: () => [...running.values()].map((task) => task.run),
    setBusy: (service, count) => { busy.set(service, count) },
    readClockMs,
    readIncarnation: () => incarnation
  }
}

function computeFreeResources (total: Resources, tasks: Iterable<RunningTask>): Resources {
  let used = NO_RESOURCES
  for (const task of tasks) used = addResources(used, task.run.resources)
  return subtractResources(total, used)
}

/** Lists the usage of the runs that had started by `reportedAtMs`. */
function listUsage (runs: readonly TaskRun[], reportedAtMs: number, factor: number): TaskUsage[] {
  return runs.filter((run) => run.startedAtMs <= reportedAtMs).map((run) => ({
    id: run.id,
    used: {
      processors: run.resources.processors * factor,
      memoryMb: Math.round(run.resources.memoryMb * factor),
      accelerators: run.resources.accelerators
    }
  }))
}
