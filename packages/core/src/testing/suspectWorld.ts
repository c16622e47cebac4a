/** A planner with suspected tasks, its workers and its advice service, played in simulated time. */
import { addWorker, createWorld, type World } from './crashWorld.js'
import { createTestStep, createTestStepJob } from './stepJobs.js'
import { ACCEPTED_STATE, type AdviceQuery, type CrashRecord, type JobStateRecord, type JobStep, type RunName, type StartOrder, type StepJob } from '../partition/index.js'

const TICK_MS = 20
const CONFIRM_MS = 10
const ADVICE_MS = 40
/** From the crash of a worker to its loss, and to its next life. */
const LOSS_MS = 3300
const UNRESPONSIVE_MS = 300
const SUSPECT_PAUSE_MS = 700
const REPORT_INTERVAL_MS = 1000
const ISOLATED_REPORT_INTERVAL_MS = 250
/** A bad task crashes its worker this long after the start. */
const CRASH_AFTER_MS = 10
/** Share of the workers that the advice service allows, of ten. */
const ALLOWED_OF_TEN = 7
const ADVICE = { decisionMs: 10, eachMs: 0.1, validityMs: 2000 }

export interface SuspectJob {
  readonly id: string
  readonly step: Partial<JobStep>
  readonly policy?: Partial<StepJob['policy']>
  readonly durationMs: number
  /** Crashes counted against each task, and the suspicion that they cast; none by default. */
  readonly suspicion?: { readonly crashes: number, readonly amount: number } | undefined
  /** The first task crashes each of its workers. */
  readonly isBad?: boolean
}

interface Run {
  readonly order: StartOrder
  readonly startedAtMs: number
  readonly endsAtMs: number
  isConfirmed: boolean
}

/** A played partition. */
export interface SuspectWorld extends World {
  readonly addJob: (job: SuspectJob) => void
  readonly runFor: (durationMs: number) => void
  /** Time of each start of a task, by `job.index`. */
  readonly starts: ReadonlyMap<string, readonly number[]>
}

function buildKey ({ job, index }: RunName): string {
  return `${job}.${index}`
}

function isAllowed (step: string, worker: string): boolean {
  let hash = 7
  for (const char of `${step} ${worker}`) hash = (hash * 31 + char.charCodeAt(0)) % 9973
  return hash % 10 < ALLOWED_OF_TEN
}

/** How workers crash. */
export interface SuspectWorldOptions {
  /** From the start of a bad task to the crash of its worker, in milliseconds; default `CRASH_AFTER_MS`. A start is confirmed after 10 ms. */
  readonly crashAfterMs?: number
  /** Whether crashed workers fall silent; by default their connections break. */
  readonly fallsSilent?: boolean
}

export function createSuspectWorld (workerCount: number, { crashAfterMs = CRASH_AFTER_MS, fallsSilent = false }: SuspectWorldOptions = {}): SuspectWorld {
  const world = createWorld(workerCount)
  const { planner } = world
  const jobs = new Map<string, SuspectJob>()
  const runs = new Map<string, Run[]>()
  const starts = new Map<string, number[]>()
  const lossDueMs = new Map<string, number>()
  const ended = new Map<string, number>()
  const reportDueMs = new Map<string, number>()
  const isolated = new Set<string>()
  let answers: { readonly query: AdviceQuery, readonly dueAtMs: number }[] = []

  const isCrashing = ({ order, startedAtMs }: Run): boolean => {
    return jobs.get(order.job)?.isBad === true && order.index === 0 && world.nowMs >= startedAtMs + crashAfterMs
  }

  const endLosses = (): void => {
    for (const [worker, dueAtMs] of lossDueMs) {
      if (world.nowMs < dueAtMs - LOSS_MS + UNRESPONSIVE_MS) continue
      planner.setSynced(worker, false)
      if (world.nowMs < dueAtMs) continue
      lossDueMs.delete(worker)
      planner.recordWorkerLost(worker, { kind: 'crashed', failedAtMs: dueAtMs - LOSS_MS, nowMs: world.nowMs, wallMs: world.nowMs })
      planner.removeWorker(worker)
      addWorker(world, `${worker}+`, 'r9')
    }
  }

  const reportRuns = (worker: string, all: readonly Run[]): void => {
    const over = all.filter(({ endsAtMs }) => endsAtMs <= world.nowMs)
    if (over.length === 0 && world.nowMs < (reportDueMs.get(worker) ?? 0)) return
    reportDueMs.set(worker, world.nowMs + (isolated.has(worker) ? ISOLATED_REPORT_INTERVAL_MS : REPORT_INTERVAL_MS))
    const running = all.filter((run) => !over.includes(run))
    runs.set(worker, running)
    const first = (ended.get(worker) ?? 0) + 1
    ended.set(worker, first + over.length)
    planner.recordReport(worker, {
      requestedAtMs: world.nowMs,
      running: running.map(({ order }) => ({ ...order, saved: '', percent: 50, load: 0 })),
      ended: over.map(({ order: { job, occurrence, step, index, run } }, number) => ({ job, occurrence, step, index, run, number: first + number, how: 'done', saved: '' })),
      hasMoreEnds: false
    }, world.nowMs, world.nowMs)
  }

  const playWorkers = (): void => {
    for (const [worker, all] of runs) {
      if (all.some(isCrashing)) {
        runs.delete(worker)
        lossDueMs.set(worker, world.nowMs + LOSS_MS)
        planner.recordWorkerFailing(worker, world.nowMs, !fallsSilent)
        planner.setSuspect(worker, world.nowMs + SUSPECT_PAUSE_MS)
        continue
      }
      for (const run of all) {
        if (run.isConfirmed || world.nowMs < run.startedAtMs + CONFIRM_MS) continue
        run.isConfirmed = true
        planner.recordStartConfirmed(run.order, worker, world.nowMs)
      }
      reportRuns(worker, all)
    }
  }

  const answerAdvice = (): void => {
    const due = answers.filter(({ dueAtMs }) => dueAtMs <= world.nowMs)
    answers = answers.filter((answer) => !due.includes(answer))
    for (const { query } of due) {
      const tickets = new Map(query.workers.filter((worker) => isAllowed(query.step, worker)).map((worker) => [worker, 'ticket']))
      planner.recordAdvice(query, tickets, world.nowMs)
    }
  }

  const playTick = (): void => {
    world.nowMs += TICK_MS
    endLosses()
    playWorkers()
    answerAdvice()
    const decisions = planner.decide(world.nowMs, world.nowMs, (query) => answers.push({ query, dueAtMs: world.nowMs + ADVICE_MS }) > 0)
    for (const { worker, kind } of decisions.isolation) {
      if (kind === 'held') isolated.add(worker)
      else isolated.delete(worker)
    }
    for (const order of decisions.starts) {
      const key = buildKey(order)
      starts.set(key, [...starts.get(key) ?? [], world.nowMs])
      const run = { order, startedAtMs: world.nowMs, endsAtMs: world.nowMs + jobs.get(order.job)!.durationMs, isConfirmed: false }
      runs.set(order.worker, [...runs.get(order.worker) ?? [], run])
    }
  }

  return {
    planner,
    get nowMs () { return world.nowMs },
    set nowMs (nowMs) { world.nowMs = nowMs },
    starts,
    addJob: (job) => {
      jobs.set(job.id, job)
      const step = createTestStep({ resources: { processors: 1, memoryMb: 512, accelerators: 0 }, estimateMs: job.durationMs, ...job.step })
      const { suspicion } = job
      const indexes = [...Array(step.taskCount).keys()]
      const crashes: CrashRecord = suspicion === undefined ? [] : indexes.map((index) => [0, 0, index, suspicion.crashes, 0, suspicion.amount, 0] as const)
      const state: JobStateRecord = { ...ACCEPTED_STATE, occurrences: [[0, [indexes.map(() => [0, suspicion?.crashes ?? 0, '', 0, ''] as const)]]] }
      const spec = createTestStepJob([step], { advice: ADVICE, ...job.policy }, { acceptedAtMs: world.nowMs })
      planner.addJob(job.id, spec, state, world.nowMs, crashes)
    },
    runFor: (durationMs) => { for (const untilMs = world.nowMs + durationMs; world.nowMs < untilMs;) playTick() }
  }
}
