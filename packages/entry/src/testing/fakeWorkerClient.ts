/** In-memory worker client over the worker model, with injectable link faults. */
import type { Clock, Disposable, Random } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { WorkerClient, WorkerFailure } from '../ports.js'
import type { WorkerModel } from './workerModel.js'

/** Fault settings of one link; the fields may change at any time. */
export interface WorkerLinkFaults {
  /** Calls fail immediately and have no effect. */
  unreachable: boolean
  /** Calls time out and have no effect. */
  silent: boolean
  /** One-way delay: from the call to its effect, and again from the effect to the response. */
  delayMs: number
  /** Probability that a call takes effect but its response is lost. */
  lostAnswerRate: number
  /** Probability that a call takes effect a second time, up to `maxLateEffectMs` later. */
  duplicateRate: number
  /** Probability that a call times out at the client and takes effect up to `maxLateEffectMs` after the call. */
  lateEffectRate: number
  maxLateEffectMs: number
}

export interface FakeWorkerClientOptions {
  readonly model: WorkerModel
  readonly clock: Clock
  readonly random: Random
  /** Faults of the link; default none. */
  readonly faults?: WorkerLinkFaults
  /** Timeout of a call without response, in milliseconds; default 1000. */
  readonly timeoutMs?: number
}

/** Creates settings without any fault. */
export function createWorkerLinkFaults (): WorkerLinkFaults {
  return { unreachable: false, silent: false, delayMs: 0, lostAnswerRate: 0, duplicateRate: 0, lateEffectRate: 0, maxLateEffectMs: 5000 }
}

/** Creates the client by which one owner reaches one worker. */
export function createFakeWorkerClient (options: FakeWorkerClientOptions): WorkerClient {
  const { model, clock, random } = options
  const faults = options.faults ?? createWorkerLinkFaults()
  const timeoutMs = options.timeoutMs ?? 1000

  const isInjected = (rate: number): boolean => rate > 0 && random.nextFloat() < rate
  const wait = (ms: number): Promise<void> => ms <= 0
    ? Promise.resolve()
    : new Promise((resolve) => { clock.setTimer(ms, resolve) })
  const runLater = (run: () => unknown): Disposable => clock.setTimer(random.nextFloat() * faults.maxLateEffectMs, () => { run() })

  const failWithTimeout = async <T> (): Promise<Result<T, WorkerFailure>> => {
    await wait(timeoutMs)
    return err({ kind: 'timeout', message: `no response within ${timeoutMs} ms` })
  }

  const callWorker = async <T> (run: () => T): Promise<Result<T, WorkerFailure>> => {
    if (faults.unreachable) return err({ kind: 'unreachable', message: 'connection refused' })
    if (faults.silent) return await failWithTimeout()
    if (isInjected(faults.lateEffectRate)) {
      runLater(run)
      return await failWithTimeout()
    }
    await wait(faults.delayMs)
    const response = structuredClone(run())
    if (isInjected(faults.duplicateRate)) runLater(run)
    if (isInjected(faults.lostAnswerRate)) return await failWithTimeout()
    await wait(faults.delayMs)
    return ok(response)
  }

  return {
    renewLease: async (command) => {
      const response = await callWorker(() => model.renewLease(command))
      if (response.isErr()) return err(response.error)
      if (response.value.refused) return err({ kind: 'staleEpoch', epoch: response.value.epoch })
      return ok(response.value.report)
    },
    startTask: (command) => callWorker(() => model.startTask(command)),
    stopTask: (command) => callWorker(() => model.stopTask(command))
  }
}
