/** A step of one occurrence whose earlier steps are done: what waits for room, and where it may go. */
import { ADVICE_RETRY_MS, ADVICE_WORKERS, TICKET_MARGIN_MS } from './constants.js'
import { canEverRun, computeStepRoom, isOpen, type PartitionWorker } from './partitionWorker.js'
import { hasRoomFor, type Resources } from '../schema/resources.js'
import type { Job, Task, Occurrence } from './jobState.js'
import type { AdvicePolicy, JobStep } from './stepJob.js'

/** Permission to run a step at one worker. */
export interface Ticket {
  readonly ticket: string
  /** Monotonic time after which the worker refuses it. */
  readonly validUntilMs: number
}

/** A step that is ready to run. */
export interface StepRun {
  /** `job.occurrence.step` */
  readonly key: string
  readonly job: Job
  readonly occurrence: Occurrence
  readonly index: number
  readonly step: JobStep
  readonly tasks: readonly Task[]
  readonly room: Resources
  /** Monotonic time since which some task waits for room; `null` while none does. */
  waitingSinceMs: number | null
  /** What the advice service said of workers. */
  readonly tickets: Map<string, Ticket>
  readonly unsuitable: Set<string>
  adviceAsked: boolean
  nextAdviceMs: number
}

/** Creates the run of a step whose earlier steps are done. */
export function createStepRun (job: Job, occurrence: Occurrence, index: number): StepRun {
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
    room: computeStepRoom(step),
    waitingSinceMs: null,
    tickets: new Map(),
    unsuitable: new Set(),
    adviceAsked: false,
    nextAdviceMs: 0
  }
}

/** Tasks that may start now; a gang starts only when no member is left of its last run. */
export function listStartable (run: StepRun): Task[] {
  const waiting = run.tasks.filter((task) => task.phase === 'waiting' && task.worker === '')
  if (!run.step.gang) return waiting
  return waiting.length === run.tasks.length ? waiting : []
}

/** Tells whether the queue's policy lets the step run at a worker, as far as is known now. */
export function hasTicket (run: StepRun, worker: string, nowMs: number): boolean {
  if (run.job.spec.policy.advice === undefined) return true
  const ticket = run.tickets.get(worker)
  return ticket !== undefined && ticket.validUntilMs > nowMs
}

/** Tells whether a worker may turn out to be allowed: advised before, or not asked about yet. */
export function mayBeSuitable (run: StepRun, worker: PartitionWorker): boolean {
  return canEverRun(worker, run.step) && !run.unsuitable.has(worker.facts.id)
}

/** Room at a worker that no waiting step of a higher rank means to use. */
export type ReadFree = (worker: PartitionWorker) => Resources

/**
 * Chooses the workers to ask advice about, none if no question is due.
 * The first question names many workers, for the answer never changes; later ones renew the tickets that have room to use.
 * Nothing is asked while no worker has room: the ticket would end unused.
 */
export function chooseAdviceWorkers (run: StepRun, workers: Iterable<PartitionWorker>, readFree: ReadFree, nowMs: number): string[] {
  if (run.job.spec.policy.advice === undefined || run.adviceAsked || nowMs < run.nextAdviceMs) return []
  const candidates: PartitionWorker[] = []
  for (const worker of workers) if (isOpen(worker, nowMs) && mayBeSuitable(run, worker)) candidates.push(worker)
  const roomy = candidates.filter((worker) => hasRoomFor(readFree(worker), run.room))
  if (roomy.length === 0) return []
  const isFirst = run.tickets.size === 0 && run.unsuitable.size === 0
  if (!isFirst && roomy.some((worker) => hasTicket(run, worker.facts.id, nowMs + TICKET_MARGIN_MS))) return []
  const named = isFirst || run.step.gang ? candidates : roomy
  named.sort((a, b) => readFree(b).processors - readFree(a).processors)
  return named.slice(0, ADVICE_WORKERS).map((worker) => worker.facts.id)
}

/** Notes the answer to a question about `workers`. */
export function recordAdvice (
  run: StepRun, workers: readonly string[], good: ReadonlyMap<string, string>, policy: AdvicePolicy, answeredAtMs: number
): void {
  run.adviceAsked = false
  for (const worker of workers) {
    const ticket = good.get(worker)
    if (ticket === undefined) run.unsuitable.add(worker)
    else run.tickets.set(worker, { ticket, validUntilMs: answeredAtMs + policy.validityMs - TICKET_MARGIN_MS })
  }
}

/** Notes that a question got no answer. */
export function recordAdviceFailed (run: StepRun, nowMs: number): void {
  run.adviceAsked = false
  run.nextAdviceMs = nowMs + ADVICE_RETRY_MS
}

/** Time that the step and what follows it still take, in milliseconds. */
export function estimateRemainingMs (run: StepRun): number {
  const endsAt: number[] = []
  for (const [index, step] of run.job.spec.steps.entries()) {
    let startsAt = 0
    for (const earlier of step.after) startsAt = Math.max(startsAt, endsAt[earlier] ?? 0)
    const isDone = run.occurrence.steps[index]?.every((task) => task.phase === 'done') ?? false
    endsAt.push(startsAt + (isDone ? 0 : step.estimateMs))
  }
  return Math.max(0, ...endsAt)
}
