/** A worker in memory as the platform's page describes it: fence, leases, numbered ends, gangs apart; with cuts, late orders and rebirth. */
import type { Clock, ListedEnd, RunName, StartOrder } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { CallFailure, PartitionWorkerClient, ListedWorker } from '../partition/ports.js'
import { formatRun } from '../partition/formatRun.js'
import { createLongPoll } from './longPoll.js'

/** A run that began, for the test's judgement. */
export interface StartedRun extends RunName {
  readonly worker: string
  readonly startedAtMs: number
  endedAtMs: number | null
  how: ListedEnd['how'] | null
}

/** What goes wrong at a worker. */
export interface WorkerModelFaults {
  /** Calls and answers are lost. */
  cut: boolean
  /** Decides for each order whether it gets no answer and is carried out later. */
  delayOrder: () => { readonly afterMs: number } | null
}

/** The model. */
export interface PartitionWorkerModel {
  readonly listing: ListedWorker
  readonly faults: WorkerModelFaults
  createClient: () => PartitionWorkerClient
  /** Ends everything; the next life knows nothing. */
  restart: () => void
}

/** Options of a model. */
export interface PartitionWorkerModelOptions {
  readonly listing: ListedWorker
  readonly clock: Clock
  /** How long a run takes, in milliseconds, and how it ends. */
  readonly planRun: (order: StartOrder) => { readonly durationMs: number, readonly how: 'done' | 'failed' }
  readonly started: StartedRun[]
}

interface LiveRun {
  readonly record: StartedRun
  readonly durationMs: number
}

const CALL_MS = 2
const TIMEOUT_MS = 700
const STOP_MS = 100

/** Creates a worker without runs. */
export function createPartitionWorkerModel (options: PartitionWorkerModelOptions): PartitionWorkerModel {
  const { clock, listing, started } = options
  const faults: WorkerModelFaults = { cut: false, delayOrder: () => null }
  let bornAtMs = clock.wallMs()
  let startMs = clock.nowMs()
  let epoch = 0
  let leaseUntilMs = 0
  let lastEnd = 0
  let live = new Map<string, LiveRun>()
  let ended: ListedEnd[] = []
  /** Highest run of each task that was stopped or ended here. */
  let barred = new Map<string, number>()
  let life = 0
  const poll = createLongPoll(clock)

  const readClock = (): number => clock.nowMs() - startMs
  const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })
  const formatTask = (run: RunName): string => formatRun({ ...run, run: 0 })

  const endRun = (name: string, how: ListedEnd['how']): void => {
    const run = live.get(name)
    if (run === undefined) return
    live.delete(name)
    run.record.endedAtMs = clock.nowMs()
    run.record.how = how
    lastEnd++
    const { record } = run
    ended.push({ job: record.job, occurrence: record.occurrence, step: record.step, index: record.index, run: record.run, number: lastEnd, how, saved: '' })
    barred.set(formatTask(record), Math.max(barred.get(formatTask(record)) ?? 0, record.run))
    poll.wake()
  }

  const checkLease = (): void => {
    if (readClock() < leaseUntilMs) return
    for (const name of [...live.keys()]) endRun(name, 'lapsed')
  }

  const extendLease = (untilMs: number): void => {
    if (untilMs <= leaseUntilMs) return
    leaseUntilMs = untilMs
    const ofLife = life
    clock.setTimer(untilMs - readClock() + 1, () => { if (ofLife === life) checkLease() })
  }

  const acceptStart = (order: StartOrder, orderEpoch: number, untilMs: number) => {
    if (orderEpoch < epoch) return { kind: 'deposed' as const }
    epoch = orderEpoch
    const name = formatRun(order)
    if (live.has(name)) return { kind: 'started' as const, clockMs: readClock() }
    if ((barred.get(formatTask(order)) ?? 0) >= order.run) return { kind: 'refused' as const, reason: 'superseded' as const }
    if (untilMs <= readClock()) return { kind: 'refused' as const, reason: 'late' as const }
    extendLease(untilMs)
    const { job, occurrence, step, index, run } = order
    const record: StartedRun = { job, occurrence, step, index, run, worker: listing.id, startedAtMs: clock.nowMs(), endedAtMs: null, how: null }
    started.push(record)
    const { durationMs, how } = options.planRun(order)
    live.set(name, { record, durationMs })
    const ofLife = life
    clock.setTimer(durationMs, () => { if (ofLife === life) endRun(name, how) })
    return { kind: 'started' as const, clockMs: readClock() }
  }

  const acceptStop = (run: RunName, orderEpoch: number) => {
    if (orderEpoch < epoch) return { kind: 'deposed' as const }
    epoch = orderEpoch
    barred.set(formatTask(run), Math.max(barred.get(formatTask(run)) ?? 0, run.run))
    const ofLife = life
    clock.setTimer(STOP_MS, () => { if (ofLife === life) endRun(formatRun(run), 'stopped') })
    return { kind: 'answered' as const }
  }

  const call = async <T> (run: () => T, timeoutMs = TIMEOUT_MS): Promise<Result<T, CallFailure>> => {
    await wait(CALL_MS)
    const delayed = faults.cut ? null : faults.delayOrder()
    if (delayed !== null) clock.setTimer(delayed.afterMs, run)
    if (faults.cut || delayed !== null) {
      await wait(timeoutMs)
      return err({ kind: 'unknown', message: 'no answer' })
    }
    const result = run()
    await wait(CALL_MS)
    return faults.cut ? err({ kind: 'unknown', message: 'no answer' }) : ok(result)
  }

  const createClient = (): PartitionWorkerClient => ({
    renewLease: async (request) => {
      await poll.waitUntil(() => ended.length > 0 || faults.cut, request.waitMs)
      return await call(() => {
        if (request.epoch < epoch) return { kind: 'deposed' as const }
        epoch = request.epoch
        if (request.leaseUntilMs !== null) extendLease(request.leaseUntilMs)
        ended = ended.filter((end) => end.number > request.acknowledgedEnd)
        const running = [...live.values()].map(({ record, durationMs }) => ({
          ...record, saved: '', percent: Math.floor(100 * (clock.nowMs() - record.startedAtMs) / durationMs), load: 0
        }))
        return { kind: 'held' as const, clockMs: readClock(), bornAtMs, running, ended: [...ended] }
      })
    },
    startRun: (order, orderEpoch, untilMs, timeoutMs) => call(() => acceptStart(order, orderEpoch, untilMs), timeoutMs),
    stopRun: (run, orderEpoch) => call(() => acceptStop(run, orderEpoch)),
    dispose: () => {}
  })

  return {
    listing,
    faults,
    createClient,
    restart: () => {
      for (const run of live.values()) {
        run.record.endedAtMs = clock.nowMs()
        run.record.how = 'lapsed'
      }
      life++
      live = new Map()
      ended = []
      barred = new Map()
      epoch = lastEnd = leaseUntilMs = 0
      startMs = clock.nowMs()
      bornAtMs = clock.wallMs()
    }
  }
}
