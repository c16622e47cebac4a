/** Worker client over the pure model, with faults of the connection that a test switches. */
import type { Clock, Disposable, Random } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { WorkerClient, WorkerFailure } from '../ports.js'
import type { WorkerModel } from './workerModel.js'

/** Switches of one connection; change the fields at any time. */
export interface WorkerLinkFaults {
  /** Calls fail at once and have no effect. */
  unreachable: boolean
  /** Calls go unanswered until the timeout and have no effect. */
  silent: boolean
  /** Time from a call to its effect, and again from there to its answer. */
  delayMs: number
  /** Probability that a call takes effect and its answer is lost. */
  lostAnswerRate: number
  /** Probability that a call takes effect a second time, up to `lateMs` later. */
  doubledRate: number
  /** Probability that a call is given up by the client and takes effect only up to `lateMs` later. */
  lateRate: number
  lateMs: number
}

export interface FakeWorkerClientOptions {
  readonly model: WorkerModel
  readonly clock: Clock
  readonly random: Random
  /** Default: none. */
  readonly faults?: WorkerLinkFaults
  /** Time after which a call without an answer fails; default 1000. */
  readonly timeoutMs?: number
}

/** Creates switches that are all off. */
export function createWorkerLinkFaults (): WorkerLinkFaults {
  return { unreachable: false, silent: false, delayMs: 0, lostAnswerRate: 0, doubledRate: 0, lateRate: 0, lateMs: 5000 }
}

/** Creates the client of one owner to one worker. */
export function createFakeWorkerClient (options: FakeWorkerClientOptions): WorkerClient {
  const { model, clock, random } = options
  const faults = options.faults ?? createWorkerLinkFaults()
  const timeoutMs = options.timeoutMs ?? 1000

  const isLucky = (rate: number): boolean => rate > 0 && random.nextFloat() < rate
  const wait = (ms: number): Promise<void> => ms <= 0
    ? Promise.resolve()
    : new Promise((resolve) => { clock.setTimer(ms, resolve) })
  const runLater = (run: () => unknown): Disposable => clock.setTimer(random.nextFloat() * faults.lateMs, () => { run() })

  const failByTimeout = async <T> (): Promise<Result<T, WorkerFailure>> => {
    await wait(timeoutMs)
    return err({ kind: 'timeout', message: `no answer within ${timeoutMs} ms` })
  }

  const callWorker = async <T> (run: () => T): Promise<Result<T, WorkerFailure>> => {
    if (faults.unreachable) return err({ kind: 'unreachable', message: 'connection refused' })
    if (faults.silent) return await failByTimeout()
    if (isLucky(faults.lateRate)) {
      runLater(run)
      return await failByTimeout()
    }
    await wait(faults.delayMs)
    const answer = structuredClone(run())
    if (isLucky(faults.doubledRate)) runLater(run)
    if (isLucky(faults.lostAnswerRate)) return await failByTimeout()
    await wait(faults.delayMs)
    return ok(answer)
  }

  return {
    renewLease: async (command) => {
      const answer = await callWorker(() => model.renewLease(command))
      if (answer.isErr()) return err(answer.error)
      if (answer.value.refused) return err({ kind: 'staleEpoch', epoch: answer.value.epoch })
      return ok(answer.value.report)
    },
    startTask: (command) => callWorker(() => model.startTask(command)),
    stopTask: (command) => callWorker(() => model.stopTask(command))
  }
}
