/** Measures the calls of a cell entry, by part and outcome. */
import type { Clock } from '@fuchsiatally/core'
import type { Result } from 'neverthrow'
import type { AdviceClient, CallFailure, PartitionTable, PartitionWorkerClient } from './ports.js'

/** Takes the duration of a call in milliseconds; `part` names call and outcome. */
export type RecordWait = (part: string, elapsedMs: number) => void

async function measureCall<T> (name: string, clock: Clock, record: RecordWait, call: Promise<Result<T, CallFailure>>): Promise<Result<T, CallFailure>> {
  const startedAtMs = clock.nowMs()
  const result = await call
  record(`${name}/${result.isOk() ? 'answered' : result.error.kind}`, clock.nowMs() - startedAtMs)
  return result
}

/** Measures a table. Reads that wait for changes are left out: their time says nothing. */
export function createMeasuredTable (table: PartitionTable, clock: Clock, record: RecordWait): PartitionTable {
  return {
    ...table,
    commit: (transaction, timeoutMs) => measureCall('commit', clock, record, table.commit(transaction, timeoutMs)),
    readRange: (range) => measureCall('read', clock, record, table.readRange(range))
  }
}

/** Measures the orders of a worker's client. */
export function createMeasuredWorker (client: PartitionWorkerClient, clock: Clock, record: RecordWait): PartitionWorkerClient {
  return {
    ...client,
    startRun: (order, epoch, leaseUntilMs, timeoutMs) => measureCall('start', clock, record, client.startRun(order, epoch, leaseUntilMs, timeoutMs)),
    stopRun: (run, epoch) => measureCall('stop', clock, record, client.stopRun(run, epoch))
  }
}

/** Measures the advice service. */
export function createMeasuredAdvice (client: AdviceClient, clock: Clock, record: RecordWait): AdviceClient {
  return { askAdvice: (step, workers, timeoutMs) => measureCall('advice', clock, record, client.askAdvice(step, workers, timeoutMs)) }
}
