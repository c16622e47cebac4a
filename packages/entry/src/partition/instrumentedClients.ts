/** Decorates the clients of an entry so that the duration of each call is recorded by operation and outcome. */
import type { Clock } from '@fuchsiatally/core'
import type { Result } from 'neverthrow'
import type { AdviceClient, CallFailure, PartitionTable, PartitionWorkerClient } from './ports.js'

/** Records the duration of a call in milliseconds; `part` is `operation/outcome`. */
export type RecordDuration = (part: string, elapsedMs: number) => void

async function measureCall<T> (name: string, clock: Clock, record: RecordDuration, call: Promise<Result<T, CallFailure>>): Promise<Result<T, CallFailure>> {
  const startedAtMs = clock.nowMs()
  const result = await call
  record(`${name}/${result.isOk() ? 'answered' : result.error.kind}`, clock.nowMs() - startedAtMs)
  return result
}

/** Instruments a table. Long polls for changes are excluded: their duration depends on when a change occurs. */
export function createInstrumentedTable (table: PartitionTable, clock: Clock, record: RecordDuration): PartitionTable {
  return {
    ...table,
    commit: (transaction, timeoutMs) => measureCall('commit', clock, record, table.commit(transaction, timeoutMs)),
    readRange: (range) => measureCall('read', clock, record, table.readRange(range))
  }
}

/** Instruments the start and stop orders of a worker's client. */
export function createInstrumentedWorkerClient (client: PartitionWorkerClient, clock: Clock, record: RecordDuration): PartitionWorkerClient {
  return {
    ...client,
    startRun: (order, epoch, leaseUntilMs, timeoutMs) => measureCall('start', clock, record, client.startRun(order, epoch, leaseUntilMs, timeoutMs)),
    stopRun: (run, epoch) => measureCall('stop', clock, record, client.stopRun(run, epoch))
  }
}

/** Instruments the client of the advice service. */
export function createInstrumentedAdviceClient (client: AdviceClient, clock: Clock, record: RecordDuration): AdviceClient {
  return { requestAdvice: (step, workers, timeoutMs) => measureCall('advice', clock, record, client.requestAdvice(step, workers, timeoutMs)) }
}
