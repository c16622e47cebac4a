/** Ready steps: a step of one occurrence whose dependencies are complete, with its placement advice. */
import { ADVICE_RETRY_MS, MAX_ADVICE_WORKERS, TICKET_MARGIN_MS } from './constants.js'
import { canEverRun, computeTaskResources, type PartitionWorker } from './partitionWorker.js'
import type { AdviceQuery } from './plannerTypes.js'
import type { PlanningRound } from './planningRound.js'
import { computeTotal, hasRoomFor, subtractResources, type Resources } from '../schema/resources.js'
import { isSuspected, type Job, type Occurrence, type Task } from './jobState.js'
import type { AdvicePolicy, JobStep } from './stepJob.js'

/** Permission from the advice service to run a step at one worker. */
export interface Ticket {
  readonly ticket: string
  /** Monotonic time after which the ticket is no longer used. */
  readonly validUntilMs: number
}

/** What planning derives from the tasks of a step and its occurrence. */
interface TaskSummary {
  /** Changes of the job that the summary includes. */
  readonly jobChanges: number
  readonly startable: readonly Task[]
  /** Those of them that must run apart. */
  readonly suspected: readonly Task[]
  readonly remainingMs: number
}

/** A step of one occurrence that is ready to run. */
export interface StepInstance {
  /** `job.occurrence.step` */
  readonly key: string
  readonly job: Job
  readonly occurrence: Occurrence
  readonly index: number
  readonly step: JobStep
  readonly tasks: readonly Task[]
  readonly taskResources: Resources
  /** Monotonic time since which a task has been waiting for capacity; `null` if none is waiting. */
  waitingSinceMs: number | null
  /** Tickets from the advice service, by worker. */
  readonly tickets: Map<string, Ticket>
  readonly unsuitable: Set<string>
  /** Monotonic time from which no ticket is valid. */
  ticketsUntilMs: number
  isAdvicePending: boolean
  nextAdviceMs: number
  /** Most steps of a backlog don't change from one round to the next. */
  summary: TaskSummary | null
}

/** Creates the instance of a step whose dependencies are complete. */
export function createStepInstance (job: Job, occurrence: Occurrence, index: number): StepInstance {
  const step = job.spec.steps[index]
  const tasks = occurrence.steps[index]
  if (step === undefined || tasks === undefined) throw new Error(`job ${job.id} has no step ${index}`)
  return {
    key: `${job.id}.${occurrence.index}.${index}`,
    job,
    occurrence,
    index,
    step,
    tasks,
    taskResources: computeTaskResources(step),
    waitingSinceMs: null,
    tickets: new Map(),
    unsuitable: new Set(),
    ticketsUntilMs: -Infinity,
    isAdvicePending: false,
    nextAdviceMs: 0,
    summary: null
  }
}

/** Lists the tasks that may start now; a gang restarts only after all members of its last run have ended. */
function collectStartable ({ tasks, step }: StepInstance): readonly Task[] {
  const waiting = tasks.filter((task) => task.phase === 'waiting' && task.worker === '')
  return step.gang && waiting.length < tasks.length ? [] : waiting
}

/** Estimates the remaining critical path of the occurrence, in milliseconds. */
function computeRemainingMs ({ job, occurrence }: StepInstance): number {
  const endsAt: number[] = []
  for (const [index, step] of job.spec.steps.entries()) {
    let startsAt = 0
    for (const earlier of step.after) startsAt = Math.max(startsAt, endsAt[earlier] ?? 0)
    const isDone = occurrence.steps[index]?.every((task) => task.phase === 'done') ?? false
    endsAt.push(startsAt + (isDone ? 0 : step.estimateMs))
  }
  return Math.max(0, ...endsAt)
}

function readSummary (instance: StepInstance): TaskSummary {
  const { job, summary } = instance
  if (summary !== null && summary.jobChanges === job.changes) return summary
  const startable = collectStartable(instance)
  const built = { jobChanges: job.changes, startable, suspected: startable.filter(isSuspected), remainingMs: computeRemainingMs(instance) }
  instance.summary = built
  return built
}

/** Lists the tasks that may start now. */
export function listStartable (instance: StepInstance): readonly Task[] {
  return readSummary(instance).startable
}

/** Lists the tasks that may start now and must run apart. */
export function listSuspected (instance: StepInstance): readonly Task[] {
  return readSummary(instance).suspected
}

/** Resources that the team's limit has to have room for before any task of the step starts: a gang is charged as a whole. */
export function computeUnit ({ step, tasks }: StepInstance): Resources {
  return step.gang ? computeTotal(step.resources, tasks.length) : step.resources
}

/** Counts the tasks that may start now. */
export function countStartable (instance: StepInstance): number {
  return readSummary(instance).startable.length
}

/** Estimates the remaining critical path of the occurrence, in milliseconds. */
export function estimateRemainingMs (instance: StepInstance): number {
  return readSummary(instance).remainingMs
}

/** Counts the step's tasks that occupy resources, by worker. */
export function countTasksByWorker (instance: StepInstance): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { worker } of instance.tasks) if (worker !== '') counts.set(worker, (counts.get(worker) ?? 0) + 1)
  return counts
}

/** Tells whether the step may run at a worker: it has a valid ticket, or its queue requires none. */
export function hasTicket (instance: StepInstance, worker: string, nowMs: number): boolean {
  if (instance.job.spec.policy.advice === undefined) return true
  const ticket = instance.tickets.get(worker)
  return ticket !== undefined && ticket.validUntilMs > nowMs
}

/** Tells whether the step starts only with a ticket. */
export function isAdviceRequired (instance: StepInstance): boolean {
  return instance.job.spec.policy.advice !== undefined
}

/** Tells whether the step may have a valid ticket for any worker, or its queue requires none. */
export function mayHaveTicket (instance: StepInstance, nowMs: number): boolean {
  return instance.job.spec.policy.advice === undefined || instance.ticketsUntilMs > nowMs
}

/** Tells whether a worker could run the step and has not been ruled out by the advice service. */
export function mayBeSuitable (instance: StepInstance, worker: PartitionWorker): boolean {
  return canEverRun(worker, instance.step) && !instance.unsuitable.has(worker.info.id)
}

/** Counts the tasks of a step that workers could take now, up to `needed`. */
function countRoom (instance: StepInstance, indexes: readonly number[], needed: number, round: PlanningRound): number {
  const { taskResources, step } = instance
  const most = step.maxPerWorker > 0 ? step.maxPerWorker : Infinity
  let count = 0
  for (const index of indexes) {
    if (count >= needed) break
    let left = round.readUnclaimed(index)
    for (let here = 0; here < most && count < needed && hasRoomFor(left, taskResources); here++) {
      left = subtractResources(left, taskResources)
      count++
    }
  }
  return count
}

/** Whether a gang that its tickets leave no room for may fit if further workers are asked for. */
function mayFitWithMore (instance: StepInstance, ticketed: readonly number[], withCapacity: readonly number[], round: PlanningRound): boolean {
  const needed = instance.tasks.length
  return countRoom(instance, ticketed, needed, round) < needed && countRoom(instance, withCapacity, needed, round) === needed
}

/**
 * Chooses the workers of the next advice query; none if no query is due.
 * The first query covers many workers because a worker's suitability never changes; later ones renew tickets where there is capacity. While
 * tickets are valid, only a gang asks for further workers: it starts as a whole, and a part of it may fit the workers asked for so far.
 * No query is sent while no worker has capacity: the ticket would expire unused.
 */
export function chooseAdviceWorkers (instance: StepInstance, round: PlanningRound): string[] {
  const { workers, nowMs } = round
  if (instance.job.spec.policy.advice === undefined || instance.isAdvicePending || nowMs < instance.nextAdviceMs) return []
  const isSuitable = (index: number): boolean => mayBeSuitable(instance, workers[index]!)
  const withCapacity = round.listUnclaimedFitting(instance.taskResources).filter(isSuitable)
  if (withCapacity.length === 0) return []
  const isFirst = instance.tickets.size === 0 && instance.unsuitable.size === 0
  const hasValidTicket = (index: number): boolean => hasTicket(instance, workers[index]!.info.id, nowMs + TICKET_MARGIN_MS)
  const ticketed = withCapacity.filter(hasValidTicket)
  const { gang } = instance.step
  if (ticketed.length > 0 && !(gang && mayFitWithMore(instance, ticketed, withCapacity, round))) return []
  const asksAll = isFirst || gang
  if (asksAll) round.addEvaluations(workers.length)
  const selected = (asksAll ? [...workers.keys()].filter(isSuitable) : withCapacity).filter((index) => !hasValidTicket(index))
  selected.sort((a, b) => round.readUnclaimed(b).processors - round.readUnclaimed(a).processors)
  return selected.slice(0, MAX_ADVICE_WORKERS).map((index) => workers[index]!.info.id)
}

/** Builds a query about the workers that may run a step. */
export function buildAdviceQuery (instance: StepInstance, workers: readonly string[], advice: AdvicePolicy): AdviceQuery {
  return { step: instance.key, workers, costMs: advice.decisionMs + advice.eachMs * workers.length }
}

/** Records the response to an advice query about `workers`; those without a ticket are unsuitable. */
export function recordAdvice (
  instance: StepInstance, workers: readonly string[], tickets: ReadonlyMap<string, string>, policy: AdvicePolicy, answeredAtMs: number
): void {
  const validUntilMs = answeredAtMs + policy.validityMs - TICKET_MARGIN_MS
  instance.isAdvicePending = false
  for (const worker of workers) {
    const ticket = tickets.get(worker)
    if (ticket === undefined) instance.unsuitable.add(worker)
    else instance.tickets.set(worker, { ticket, validUntilMs })
  }
  if (tickets.size > 0) instance.ticketsUntilMs = Math.max(instance.ticketsUntilMs, validUntilMs)
}

/** Records that an advice query failed. */
export function recordAdviceFailed (instance: StepInstance, nowMs: number): void {
  instance.isAdvicePending = false
  instance.nextAdviceMs = nowMs + ADVICE_RETRY_MS
}
