/**
 * Attributes lost workers to the tasks that ran there. Pattern: poison pill, one task that crashes each worker that starts it.
 *
 * A crash casts suspicion on each task at the worker, most on those that had just started. Suspected tasks run apart from others
 * (`isolation.ts`), and only crashes of such runs count as proof, so that no task is given up for a crash that a neighbour caused.
 *
 * Losses that have a likely cause in common with others cast no suspicion, but the run may have crashed its worker all the same: they count,
 * and after `MAX_UNPROVEN_CRASHES` that proved nothing, each further one does.
 */
import { CRASH_PROOFS_TO_GIVE_UP, LONG_RUN_SUSPICION, MAX_CRASHING_STARTS, MAX_LOSS_AGE_MS, MAX_UNPROVEN_CRASHES, RECENT_START_MS, RECENT_START_SUSPICION, VERDICT_WAIT_MS } from './constants.js'
import { countUnprovenCrashes, isSuspected, type Task } from './jobState.js'
import type { CommonCause, FailureHistory } from './failureHistory.js'
import { hasPassedProbation } from './probation.js'
import type { PartitionWorker } from './partitionWorker.js'
import type { WorkerLoss } from './plannerTypes.js'

/** Crashes right after a start that prove as much as two crashes. */
const REPEATED_RECENT_CRASHES = 2

/** Tasks whose crash counts have changed. */
export interface CrashVerdict {
  readonly counted: readonly Task[]
  /** Tasks that crash their workers beyond doubt. */
  readonly proven: readonly Task[]
}

/** Evidence of one partition. */
export interface CrashEvidence {
  /** Records the loss of a worker with the tasks that it had. */
  recordLoss: (worker: PartitionWorker, tasks: readonly Task[], loss: WorkerLoss) => CrashVerdict
  /** Records that a lost worker has crashed: another one responds at its address. */
  recordReplaced: (worker: string, nowMs: number) => CrashVerdict
  /**
   * Records proof by losses of earlier terms, once it is known that their workers were not lost together with others; returns the tasks whose
   * counts have changed. Such a proof counts once and never gives a task up: its order may not have reached the worker. Those that count whatever
   * else failed are no part of this.
   */
  recordUnseenProofs: (nowMs: number) => readonly Task[]
  /** Withdraws what was counted for a lost worker that had only been cut off. */
  recordSurvived: (worker: string) => readonly Task[]
}

/** One task at a lost worker. */
interface Charge {
  readonly task: Task
  readonly run: number
  readonly suspicion: number
  readonly ageMs: number
  readonly isConfirmed: boolean
  /** Had just started, if it had started at all. */
  readonly isRecent: boolean
  /** Had just started, and not only by an order without a response to a worker that had fallen silent. */
  readonly isKnownRecent: boolean
  /** Earlier crashes prove so little that this one counts as proof, whatever else failed. */
  readonly isOwed: boolean
  /** Lost with the whole rack. */
  readonly isOfRack: boolean
  /** Had run for too long to be the cause of a crash right after the start of another task. */
  readonly isSettled: boolean
  /** Had run for too long to be the cause, wherever it ran. */
  readonly isCleared: boolean
  /** Was suspected, and had run for too long at a worker set apart to be the cause of such a crash. */
  readonly hasPassed: boolean
  /** Ran apart from other tasks. */
  readonly wasSuspected: boolean
}

interface RecordedLoss {
  readonly worker: PartitionWorker
  readonly failedAtMs: number
  /** Monotonic time at which a loss of an earlier term becomes a proof, unless other workers turn out to be lost with it; `null` for other losses. */
  dueAtMs: number | null
  readonly charges: readonly Charge[]
  readonly lostAtMs: number
  /** No task of another step could have caused the crash. */
  readonly isSolo: boolean
  /** No other worker failed at that moment, and no other suspected task was there. */
  readonly isSingle: boolean
  /** Others that failed at that time probably have the same cause. */
  readonly isExcused: boolean
  isProven: boolean
}

/** What else is known of a loss. */
interface LossCircumstances {
  readonly commonCause: CommonCause | null
  readonly isExcused: boolean
  /** The connections of the worker broke. */
  readonly isAbrupt: boolean
}

const NO_VERDICT: CrashVerdict = { counted: [], proven: [] }

/** Tells whether two tasks belong to the same step of one occurrence. Either of them fails the same job. */
export function isSameStep (a: Task, b: Task): boolean {
  return a.job === b.job && a.occurrence === b.occurrence && a.step === b.step
}

/** Tells whether a long-running task has run long enough to not be the cause of a crash right after the start of another one. */
export function isSettled (task: Task, nowMs: number): boolean {
  return task.definition.longRunning && !isSuspected(task) && task.confirmedAtMs !== null && nowMs - task.confirmedAtMs > RECENT_START_MS
}

function computeSuspicion (isExcused: boolean, isKnownRecent: boolean): number {
  if (isExcused) return 0
  return isKnownRecent ? RECENT_START_SUSPICION : LONG_RUN_SUSPICION
}

/**
 * The moment of a silent loss is not known well enough to tell recent starts from others. Of a worker that fell silent, it is not known either
 * whether an order without a response has come before the crash.
 */
function buildCharges (worker: PartitionWorker, tasks: readonly Task[], { failedAtMs, kind }: WorkerLoss, { commonCause, isExcused, isAbrupt }: LossCircumstances): Charge[] {
  const charges: Charge[] = []
  for (const task of tasks) {
    if (task.phase !== 'placed' || task.crashedRun === task.run) continue
    const ageMs = task.confirmedAtMs === null ? 0 : failedAtMs - task.confirmedAtMs
    const isRecent = ageMs <= RECENT_START_MS && kind !== 'silent'
    const isKnownRecent = isRecent && (task.confirmedAtMs !== null || isAbrupt)
    const hasPassedAnywhere = hasPassedProbation(task, worker, failedAtMs)
    const hasPassed = worker.isolated && hasPassedAnywhere
    const isOwed = countUnprovenCrashes(task) >= MAX_UNPROVEN_CRASHES
    charges.push({
      task,
      run: task.run,
      ageMs,
      isConfirmed: task.hasStarted,
      isRecent,
      isKnownRecent,
      isOwed,
      isOfRack: commonCause === 'rack' && !isOwed,
      isSettled: isSettled(task, failedAtMs) || hasPassed,
      isCleared: isSettled(task, failedAtMs) || hasPassedAnywhere,
      hasPassed,
      wasSuspected: isSuspected(task),
      suspicion: computeSuspicion(isExcused, isKnownRecent)
    })
  }
  return charges
}

/**
 * Whether the worker ran one step only, apart from long-running tasks that had run for a while and, if it crashed right after a start, from
 * suspected ones.
 */
function isSoloLoss (worker: PartitionWorker, charges: readonly Charge[]): boolean {
  if (worker.strayRuns > 0) return false
  const suspects = charges.filter((charge) => !charge.isSettled)
  const first = suspects[0]
  if (first === undefined || !suspects.every(({ task }) => isSameStep(task, first.task))) return false
  return suspects.every(({ isRecent }) => isRecent) || !charges.some(({ hasPassed }) => hasPassed)
}

function recordPrimeSuspects (charges: readonly Charge[]): void {
  const recent = charges.filter(({ isKnownRecent }) => isKnownRecent)
  const isOneStep = recent.every(({ task }) => isSameStep(task, recent[0]!.task))
  for (const { task } of recent) task.isPrimeSuspect ||= isOneStep
}

/** Creates evidence without losses. */
export function createCrashEvidence (failures: FailureHistory): CrashEvidence {
  const losses = new Map<string, RecordedLoss>()

  const count = (charges: readonly Charge[]): Task[] => {
    for (const { task, run, isConfirmed, suspicion, ageMs, isOfRack } of charges) {
      if (isOfRack) task.rackLosses++
      else {
        task.crashes += 1 + task.rackLosses
        task.rackLosses = 0
      }
      if (isConfirmed) task.confirmedCrashes++
      task.crashedRun = run
      task.suspicion += suspicion
      if (Number.isFinite(ageMs)) task.crashAgeMs = Math.max(task.crashAgeMs, ageMs)
    }
    return charges.map(({ task }) => task)
  }

  /**
   * How much a crash of a worker with one step proves: all, if the task had just started at each of two crashes, the second one without
   * another failure at that moment. An order without a response may have come after the crash: the task may never have run there.
   */
  const computeProofWeight = ({ isSingle, isExcused }: RecordedLoss, { task, isRecent, isOwed, isConfirmed }: Charge): number => {
    if (isExcused || !isConfirmed) return isOwed ? 1 : 0
    // Only crashes right after a start cast more suspicion than they count.
    const isRepeated = task.confirmedCrashes > 1 && task.suspicion - task.crashes >= REPEATED_RECENT_CRASHES
    return isSingle && isRecent && isRepeated ? CRASH_PROOFS_TO_GIVE_UP : 1
  }

  /** How long the next start of a task waits until it is known whether its worker has crashed, in milliseconds. */
  const computeVerdictWaitMs = (loss: RecordedLoss, charge: Charge): number => {
    const { task, isSettled, isCleared } = charge
    // Any further start of a task that crashes its workers would be one too many.
    if (task.crashes >= MAX_CRASHING_STARTS && !isCleared) return MAX_LOSS_AGE_MS
    if (isSettled || !loss.isSolo) return 0
    return task.soloCrashes + computeProofWeight(loss, charge) >= CRASH_PROOFS_TO_GIVE_UP ? VERDICT_WAIT_MS : 0
  }

  /** Whether a task may not start again, although its crashes prove too little: users allow to give it up after two crashes, and not more starts. */
  const isExhausted = ({ crashes, rackLosses, certainCrashes }: Task): boolean => {
    return crashes + rackLosses >= MAX_CRASHING_STARTS && certainCrashes >= CRASH_PROOFS_TO_GIVE_UP
  }

  const collectProven = (loss: RecordedLoss, charges = loss.charges): Task[] => {
    loss.isProven = true
    const proven: Task[] = []
    for (const charge of charges) {
      const { task } = charge
      if (task.crashedRun === charge.run) task.verdictDueMs = 0
      if (charge.isConfirmed && !charge.isCleared) task.certainCrashes++
      if (!charge.isCleared && isExhausted(task)) {
        proven.push(task)
        continue
      }
      if (!loss.isSolo || charge.isSettled) continue
      task.soloCrashes += computeProofWeight(loss, charge)
      if (task.soloCrashes >= CRASH_PROOFS_TO_GIVE_UP) proven.push(task)
    }
    return proven
  }

  const dropOldLosses = (nowMs: number): void => {
    for (const [worker, { lostAtMs }] of losses) if (nowMs - lostAtMs > MAX_LOSS_AGE_MS) losses.delete(worker)
  }

  return {
    recordLoss: (worker, tasks, loss) => {
      dropOldLosses(loss.nowMs)
      losses.delete(worker.info.id)
      if (loss.kind === 'left') return NO_VERDICT
      const commonCause = failures.findCommonCause(worker, loss.failedAtMs)
      const isExcused = loss.kind === 'missing' || commonCause !== null
      const isAbrupt = failures.isAbrupt(worker, loss.failedAtMs)
      const all = buildCharges(worker, tasks, loss, { commonCause, isExcused, isAbrupt })
      const isSolo = isSoloLoss(worker, all)
      // A crash right after the start of the only step that was tried there has no other cause.
      const isExplained = isSolo && worker.isolated && all.every(({ isSettled, isRecent }) => isSettled || isRecent)
      const possible = isExplained ? all.filter(({ isSettled }) => !isSettled) : all
      const charges = commonCause === 'certain' ? possible.filter(({ isOwed }) => isOwed) : possible
      if (charges.length === 0) return NO_VERDICT
      const recorded: RecordedLoss = {
        worker,
        failedAtMs: loss.failedAtMs,
        dueAtMs: loss.kind === 'unseen' ? loss.nowMs + VERDICT_WAIT_MS : null,
        charges,
        lostAtMs: loss.nowMs,
        isSolo,
        isSingle: !failures.hasOthers(worker, loss.failedAtMs) && !all.some(({ hasPassed }) => hasPassed),
        isExcused,
        isProven: false
      }
      losses.set(worker.info.id, recorded)
      if (!isExcused) {
        recordPrimeSuspects(charges)
        if (isAbrupt) for (const { task, isRecent } of charges) task.hasCrashedAtStart ||= isRecent
      }
      const counted = count(charges)
      if (loss.kind === 'crashed' || loss.kind === 'missing') return { counted, proven: collectProven(recorded) }
      if (loss.kind === 'unseen') return { counted, proven: collectProven(recorded, charges.filter(({ isOwed }) => isOwed)) }
      for (const charge of charges) charge.task.verdictDueMs = loss.nowMs + computeVerdictWaitMs(recorded, charge)
      return { counted, proven: [] }
    },
    recordReplaced: (worker, nowMs) => {
      const loss = losses.get(worker)
      if (loss === undefined || loss.isProven || nowMs - loss.lostAtMs > MAX_LOSS_AGE_MS) return NO_VERDICT
      return { counted: loss.charges.map(({ task }) => task), proven: collectProven(loss) }
    },
    recordUnseenProofs: (nowMs) => {
      const proven: Task[] = []
      for (const loss of losses.values()) {
        if (loss.dueAtMs === null || loss.dueAtMs > nowMs) continue
        loss.dueAtMs = null
        loss.isProven = true
        if (!loss.isSolo || failures.findCommonCause(loss.worker, loss.failedAtMs) !== null) continue
        for (const { task, isSettled, wasSuspected } of loss.charges) {
          if (isSettled || !wasSuspected || task.soloCrashes > 0) continue
          task.soloCrashes = 1
          proven.push(task)
        }
      }
      return proven
    },
    recordSurvived: (worker) => {
      const loss = losses.get(worker)
      losses.delete(worker)
      if (loss === undefined || loss.isProven) return []
      for (const { task, run, isConfirmed, suspicion } of loss.charges) {
        if (task.rackLosses > 0) task.rackLosses--
        else task.crashes--
        if (isConfirmed) task.confirmedCrashes--
        if (task.crashedRun === run) task.crashedRun = 0
        task.suspicion -= suspicion
        task.isPrimeSuspect = false
        task.hasCrashedAtStart = false
        task.verdictDueMs = 0
      }
      return loss.charges.map(({ task }) => task)
    }
  }
}
