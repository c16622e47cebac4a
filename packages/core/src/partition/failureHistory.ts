/** Recent failures of workers, to tell a crash of one worker from a cause that several have in common, such as a rack without power. */
import { ABRUPT_FAILURE_WINDOW_MS, MAX_LOSS_AGE_MS, SILENT_FAILURE_WINDOW_MS } from './constants.js'
import { isSettled } from './crashEvidence.js'
import { isSuspected } from './jobState.js'
import { readRack, type PartitionWorker } from './partitionWorker.js'

export type CommonCause = 'certain' | 'rack' | 'likely'

/** Failures of one partition's workers. */
export interface FailureHistory {
  /**
   * @param isAbrupt whether the failure was noticed at once, because the worker's connections were refused or closed
   */
  recordFailure: (worker: PartitionWorker, nowMs: number, isAbrupt: boolean) => void
  /** Records the start of a life whose worker failed before this term; it tells only of other failures of which the same is known. */
  recordUnseenFailure: (worker: PartitionWorker, bornAtMs: number) => void
  /**
   * Finds a cause that a failure has in common with others. `certain`: the connections of a whole rack broke at once, and one of its other
   * workers ran no task that could have caused it; `rack`: they broke at once, but tasks ran at all of them; `likely`: at least three quarters of
   * the other workers of the rack or failure domain, and more than one, failed at the same time, as far as it is known. Workers with suspected
   * tasks count only if the whole rack failed.
   */
  findCommonCause: (worker: PartitionWorker, failedAtMs: number) => CommonCause | null
  /** Whether the failure was noticed at once. */
  isAbrupt: (worker: PartitionWorker, failedAtMs: number) => boolean
  /** Whether any other worker failed at the same time. */
  hasOthers: (worker: PartitionWorker, failedAtMs: number) => boolean
}

interface Failure {
  readonly worker: string
  readonly rack: string
  readonly failureDomain: string
  readonly atMs: number
  readonly isAbrupt: boolean
  /** `atMs` is the start of the worker's next life instead. */
  readonly isUnseen: boolean
  /** A suspected task ran there: the failure is no sign of a common cause. */
  readonly hasSuspects: boolean
  /** No task ran there that could have caused the failure. */
  readonly isBlameless: boolean
  /** Workers in the rack and failure domain at that time, without this one and those set apart. */
  readonly othersInRack: number
  readonly othersInDomain: number
  /** Workers in the rack at that time, without this one. */
  readonly restOfRack: number
}

/** One other failure at the same time may be another crash. */
const MIN_COMMON_FAILURES = 2
/** Fewest other workers of a rack whose failure is certain to be that of the rack. */
const MIN_WHOLE_RACK = 3
/** Share of the other workers that fail with a rack or failure domain; some may have been down or be spared. */
const COMMON_FAILURE_SHARE = 3 / 4

function isMostOf (failed: number, others: number): boolean {
  return failed >= MIN_COMMON_FAILURES && failed >= others * COMMON_FAILURE_SHARE
}

/** Creates a history without failures. */
export function createFailureHistory (workers: ReadonlyMap<string, PartitionWorker>): FailureHistory {
  let failures: Failure[] = []

  const countOthers = (worker: PartitionWorker, rack: string): Pick<Failure, 'othersInRack' | 'othersInDomain' | 'restOfRack'> => {
    const counts = { othersInRack: 0, othersInDomain: 0, restOfRack: 0 }
    for (const other of workers.values()) {
      if (other === worker || !other.synced) continue
      const isInRack = readRack(other.info) === rack
      if (isInRack) counts.restOfRack++
      if (other.isolated) continue
      if (isInRack) counts.othersInRack++
      if (other.info.failureDomain === worker.info.failureDomain) counts.othersInDomain++
    }
    return counts
  }

  const findOwn = (worker: PartitionWorker, failedAtMs: number): Failure | undefined => {
    return failures.find((failure) => failure.worker === worker.info.id && failure.atMs >= failedAtMs)
  }

  const listOthers = (own: Failure): Failure[] => failures.filter((failure) => {
    const windowMs = own.isAbrupt && failure.isAbrupt ? ABRUPT_FAILURE_WINDOW_MS : SILENT_FAILURE_WINDOW_MS
    return failure.worker !== own.worker && failure.isUnseen === own.isUnseen && Math.abs(failure.atMs - own.atMs) <= windowMs
  })

  const add = (worker: PartitionWorker, failure: Pick<Failure, 'atMs' | 'isAbrupt' | 'isUnseen'>): void => {
    failures = failures.filter(({ atMs }) => failure.atMs - atMs <= MAX_LOSS_AGE_MS)
    const { id, failureDomain } = worker.info
    const rack = readRack(worker.info)
    const tasks = [...worker.tasks]
    failures.push({ ...failure, ...countOthers(worker, rack), worker: id, rack, failureDomain, hasSuspects: tasks.some(isSuspected), isBlameless: tasks.every((task) => isSettled(task, failure.atMs)) })
  }

  return {
    recordFailure: (worker, nowMs, isAbrupt) => add(worker, { atMs: nowMs, isAbrupt, isUnseen: false }),
    recordUnseenFailure: (worker, bornAtMs) => add(worker, { atMs: bornAtMs, isAbrupt: false, isUnseen: true }),
    findCommonCause: (worker, failedAtMs) => {
      const own = findOwn(worker, failedAtMs)
      if (own === undefined) return null
      const all = listOthers(own)
      const ofRack = all.filter(({ rack }) => rack === own.rack)
      const restOfRack = Math.max(own.restOfRack, ...ofRack.map((failure) => failure.restOfRack))
      const abrupt = ofRack.filter(({ isAbrupt }) => isAbrupt)
      const isWholeRack = own.isAbrupt && abrupt.length >= Math.max(MIN_WHOLE_RACK, restOfRack)
      if (isWholeRack) return abrupt.some(({ isBlameless }) => isBlameless) ? 'certain' : 'rack'
      if (ofRack.length >= Math.max(MIN_COMMON_FAILURES, restOfRack)) return 'likely'
      const others = all.filter(({ hasSuspects }) => !hasSuspects)
      const inRack = others.filter(({ rack }) => rack === own.rack)
      const inDomain = others.filter(({ failureDomain }) => failureDomain === own.failureDomain)
      // The first failure was recorded while the others still counted as synced.
      const mostInRack = Math.max(own.othersInRack, ...inRack.map(({ othersInRack }) => othersInRack))
      const mostInDomain = Math.max(own.othersInDomain, ...inDomain.map(({ othersInDomain }) => othersInDomain))
      return isMostOf(inRack.length, mostInRack) || isMostOf(inDomain.length, mostInDomain) ? 'likely' : null
    },
    isAbrupt: (worker, failedAtMs) => findOwn(worker, failedAtMs)?.isAbrupt ?? false,
    hasOthers: (worker, failedAtMs) => {
      const own = findOwn(worker, failedAtMs)
      return own === undefined || listOthers(own).length > 0
    }
  }
}
