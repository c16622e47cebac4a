/**
 * In-memory model of a partition's worker: fencing by epoch, leases and numbered run ends as the platform documents them, without
 * gangs. Tests can cut it off, delay calls and restart it.
 */
import type { Clock, ListedEnd, RunName, StartOrder } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { CallFailure, LeaseRequest, PartitionWorkerClient, ListedWorker, OtherWorker } from '../partition/ports.js'
import { formatRun } from '../partition/formatRun.js'
import { readTicketIssuedAtMs } from './adviceModel.js'
import { createLongPoll } from './longPoll.js'

/** A run that started, recorded for the checks of the test. */
export interface StartedRun extends RunName {
  readonly worker: string
  readonly startedAtMs: number
  endedAtMs: number | null
  /** `lost`: the worker crashed. */
  how: ListedEnd['how'] | 'lost' | null
  /** The end was acknowledged by a lease call, and the worker's lease had not expired since. */
  isAcknowledged: boolean
}

/** What becomes of connections to a crashed worker; `hangsUp`: they are accepted and closed; `silent`: there is no response. */
export type CrashedAddress = 'refuses' | 'hangsUp' | 'silent'

/** Faults of a worker. */
export interface PartitionWorkerFaults {
  /** Calls and responses are lost. */
  cut: boolean
  /** Time until which calls reach nobody; those that wait for so long reach the life that begins then. */
  darkUntilMs: number
  /** Connections are refused, as after a crash or behind some cuts. */
  refuses: boolean
  /** What happens to connections instead of a refusal. */
  crashedAddress: CrashedAddress
  /** Called for each call, lease renewals included: `null`, or the call times out at the caller and takes effect after `afterMs`. */
  delayCall: () => { readonly afterMs: number } | null
}

/** Worker of a partition. */
export interface PartitionWorkerModel {
  readonly listing: ListedWorker
  readonly faults: PartitionWorkerFaults
  createClient: () => PartitionWorkerClient
  /**
   * Ends all runs and clears all state, as a restart of the process does.
   *
   * @param leavesDark whether a call that waits at the worker gets no response, as after a loss of power; default: the next life responds to it
   */
  restart: (leavesDark?: boolean) => void
  /** Ends all runs, as a loss of power does. */
  loseRuns: () => void
  /** Ends all runs; from now on connections are refused. */
  crash: () => void
  /** The worker is down after a crash. */
  isCrashed: () => boolean
  /** Another worker responds at the address from now on. */
  setReplaced: () => void
  isReplaced: () => boolean
}

/** Course of a run. */
export interface PlannedRun {
  readonly durationMs: number
  /** `crash`: the run crashes its worker. */
  readonly how: 'done' | 'failed' | 'crash'
  /** Checkpoint that the run reports; default none. */
  readonly saved?: string
}

/** Options of a worker model. */
export interface PartitionWorkerModelOptions {
  readonly listing: ListedWorker
  readonly clock: Clock
  /** Plans the duration of a run, in milliseconds, and its result. */
  readonly planRun: (order: StartOrder) => PlannedRun
  /** Longest lease that the worker accepts, in milliseconds; a longer one is shortened. */
  readonly maxLeaseMs: number
  /** Time for which a ticket of the advice model is accepted, in milliseconds. */
  readonly ticketValidityMs: number
  /** Called when a run crashes the worker. */
  readonly onCrash: () => void
  readonly started: StartedRun[]
}

interface ActiveRun {
  readonly record: StartedRun
  readonly durationMs: number
  readonly saved: string
}

const NETWORK_DELAY_MS = 2
const CALL_TIMEOUT_MS = 700
const STOP_DELAY_MS = 100
/** Most ends in one response. */
const MAX_LISTED_ENDS = 500

/** Creates a worker without runs. */
export function createPartitionWorkerModel (options: PartitionWorkerModelOptions): PartitionWorkerModel {
  const { clock, listing, started } = options
  const faults: PartitionWorkerFaults = { cut: false, darkUntilMs: -Infinity, refuses: false, crashedAddress: 'refuses', delayCall: () => null }
  let bornAtMs = clock.wallMs()
  let startMs = clock.nowMs()
  let epoch = 0
  let leaseUntilMs = 0
  let lastEnd = 0
  let activeRuns = new Map<string, ActiveRun>()
  let ended: ListedEnd[] = []
  /** Last time at which the lease was found expired. */
  let expiredAtMs = -Infinity
  const endRecords = new WeakMap<ListedEnd, StartedRun>()
  /** Highest run of each task that ended or was stopped on this worker; it and earlier ones may not start again. */
  let tombstones = new Map<string, number>()
  let incarnation = 0
  let isCrashed = false
  let isReplaced = false
  let isDark = false
  const poll = createLongPoll(clock)

  const readClock = (): number => clock.nowMs() - startMs
  const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })
  const formatTask = (run: RunName): string => formatRun({ ...run, run: 0 })

  const endRun = (name: string, how: ListedEnd['how']): void => {
    const run = activeRuns.get(name)
    if (run === undefined) return
    activeRuns.delete(name)
    run.record.endedAtMs = clock.nowMs()
    run.record.how = how
    lastEnd++
    const { record } = run
    const end = { job: record.job, occurrence: record.occurrence, step: record.step, index: record.index, run: record.run, number: lastEnd, how, saved: run.saved }
    ended.push(end)
    endRecords.set(end, record)
    tombstones.set(formatTask(record), Math.max(tombstones.get(formatTask(record)) ?? 0, record.run))
    poll.notify()
  }

  const checkLeaseExpiry = (): void => {
    if (readClock() < leaseUntilMs) return
    for (const name of [...activeRuns.keys()]) endRun(name, 'lapsed')
  }

  const recordExpiry = (): void => { if (readClock() >= leaseUntilMs) expiredAtMs = startMs + leaseUntilMs }

  /** Ends after which the lease has expired don't count as acknowledged. */
  const acknowledgeEnds = (acknowledged: number): void => {
    recordExpiry()
    for (const end of ended) {
      const record = endRecords.get(end)!
      if (end.number <= acknowledged && expiredAtMs <= record.endedAtMs!) record.isAcknowledged = true
    }
  }

  const extendLease = (requestedMs: number): void => {
    recordExpiry()
    const untilMs = Math.min(requestedMs, readClock() + options.maxLeaseMs)
    if (untilMs <= leaseUntilMs) return
    leaseUntilMs = untilMs
    const leaseIncarnation = incarnation
    clock.setTimer(untilMs - readClock() + 1, () => { if (leaseIncarnation === incarnation) checkLeaseExpiry() })
  }

  const acceptStart = (order: StartOrder, orderEpoch: number, untilMs: number) => {
    if (orderEpoch < epoch) return { kind: 'deposed' as const }
    epoch = orderEpoch
    const name = formatRun(order)
    if (activeRuns.has(name)) return { kind: 'started' as const, clockMs: readClock() }
    if ((tombstones.get(formatTask(order)) ?? 0) >= order.run) {
      extendLease(untilMs)
      return { kind: 'refused' as const, clockMs: readClock(), reason: 'superseded' as const }
    }
    if (untilMs <= readClock()) return { kind: 'refused' as const, reason: 'late' as const }
    if (order.ticket !== null && clock.nowMs() > readTicketIssuedAtMs(order.ticket) + options.ticketValidityMs) {
      return { kind: 'refused' as const, reason: 'ticket' as const }
    }
    extendLease(untilMs)
    const { job, occurrence, step, index, run } = order
    const record: StartedRun = { job, occurrence, step, index, run, worker: listing.id, startedAtMs: clock.nowMs(), endedAtMs: null, how: null, isAcknowledged: false }
    started.push(record)
    const { durationMs, how, saved = '' } = options.planRun(order)
    activeRuns.set(name, { record, durationMs, saved })
    const startIncarnation = incarnation
    clock.setTimer(durationMs, () => {
      if (startIncarnation !== incarnation || !activeRuns.has(name)) return
      if (how === 'crash') options.onCrash()
      else endRun(name, how)
    })
    return { kind: 'started' as const, clockMs: readClock() }
  }

  const acceptStop = (run: RunName, orderEpoch: number) => {
    if (orderEpoch < epoch) return { kind: 'deposed' as const }
    epoch = orderEpoch
    tombstones.set(formatTask(run), Math.max(tombstones.get(formatTask(run)) ?? 0, run.run))
    const stopIncarnation = incarnation
    clock.setTimer(STOP_DELAY_MS, () => { if (stopIncarnation === incarnation) endRun(formatRun(run), 'stopped') })
    return { kind: 'answered' as const }
  }

  const acceptRenewal = (request: LeaseRequest) => {
    if (request.epoch < epoch) return { kind: 'deposed' as const }
    epoch = request.epoch
    if (request.leaseUntilMs !== null) extendLease(request.leaseUntilMs)
    acknowledgeEnds(request.acknowledgedEnd)
    ended = ended.filter((end) => end.number > request.acknowledgedEnd)
    const running = [...activeRuns.values()].map(({ record, durationMs, saved }) => ({
      ...record, saved, percent: Math.floor(100 * (clock.nowMs() - record.startedAtMs) / durationMs), load: 0
    }))
    return { kind: 'held' as const, clockMs: readClock(), bornAtMs, running, ended: ended.slice(0, MAX_LISTED_ENDS), hasMoreEnds: ended.length >= MAX_LISTED_ENDS }
  }

  /** Returns the delay of a call that arrives now, or `null`. */
  const readDelay = () => faults.cut || faults.refuses ? null : faults.delayCall()

  const call = async <T> (run: () => T, timeoutMs = CALL_TIMEOUT_MS, delayed?: ReturnType<typeof readDelay>): Promise<Result<T | OtherWorker, CallFailure>> => {
    await wait(NETWORK_DELAY_MS)
    if (faults.refuses && faults.crashedAddress === 'hangsUp') return err({ kind: 'unknown', message: 'socket hang up', connection: 'closed' })
    if (faults.refuses && faults.crashedAddress === 'refuses') return err({ kind: 'refused', message: 'connect ECONNREFUSED', connection: 'refused' })
    if (isReplaced) return ok({ kind: 'otherWorker' })
    const darkMs = faults.darkUntilMs - clock.nowMs()
    if (darkMs > 0 && darkMs < timeoutMs) await wait(darkMs + NETWORK_DELAY_MS)
    const isCut = faults.cut || faults.refuses || darkMs >= timeoutMs
    const late = isCut ? null : delayed === undefined ? readDelay() : delayed
    if (late !== null) clock.setTimer(late.afterMs, run)
    if (isCut || late !== null) {
      await wait(timeoutMs)
      return err({ kind: 'unknown', message: 'no response' })
    }
    const result = run()
    await wait(NETWORK_DELAY_MS)
    return faults.cut ? err({ kind: 'unknown', message: 'no response' }) : ok(result)
  }

  const createClient = (): PartitionWorkerClient => ({
    renewLease: async (request) => {
      const calledIncarnation = incarnation
      // Whether a call is late shows when it arrives, before it waits.
      const delayed = readDelay()
      if (delayed !== null) return await call(() => acceptRenewal(request), CALL_TIMEOUT_MS, delayed)
      await poll.waitUntil(() => ended.length > 0 || faults.cut || faults.refuses || isReplaced, request.waitMs)
      // The connection ended with the life that the call was made to, without a word.
      if (isDark && incarnation !== calledIncarnation) {
        await wait(CALL_TIMEOUT_MS)
        return err({ kind: 'unknown', message: 'no response' })
      }
      return await call(() => acceptRenewal(request), CALL_TIMEOUT_MS, null)
    },
    startRun: (order, orderEpoch, untilMs, timeoutMs) => call(() => acceptStart(order, orderEpoch, untilMs), timeoutMs),
    stopRun: (run, orderEpoch) => call(() => acceptStop(run, orderEpoch)),
    dispose: () => {}
  })

  const loseRuns = (how: 'lapsed' | 'lost'): void => {
    for (const run of activeRuns.values()) {
      run.record.endedAtMs = clock.nowMs()
      run.record.how = how
    }
    activeRuns = new Map()
    incarnation++
  }

  return {
    listing,
    faults,
    createClient,
    loseRuns: () => loseRuns('lost'),
    crash: () => {
      loseRuns('lost')
      isCrashed = true
      faults.refuses = true
      poll.notify()
    },
    isCrashed: () => isCrashed,
    setReplaced: () => {
      isCrashed = false
      faults.refuses = false
      isReplaced = true
    },
    isReplaced: () => isReplaced,
    restart: (leavesDark = false) => {
      isDark = leavesDark
      loseRuns('lapsed')
      isCrashed = false
      ended = []
      tombstones = new Map()
      epoch = lastEnd = leaseUntilMs = 0
      expiredAtMs = -Infinity
      startMs = clock.nowMs()
      bornAtMs = clock.wallMs()
    }
  }
}
