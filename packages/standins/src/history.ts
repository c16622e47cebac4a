/** History of a cluster as observed from the outside; input of the monitor's checks. */
import type { Ceiling, Resources } from '@fuchsiatally/core'
import type { ConfigObservation, ExecutionRecord, RequestRecord, TaskRunRecord } from './records.js'

/** An accepted job. */
export interface JobRecord {
  readonly job: string
  readonly team: string
  readonly kind: 'batch' | 'gang' | 'service'
  readonly taskCount: number
  /** Last reported phase. */
  readonly phase: string
}

/** An event that concerns a named object. */
export interface TimedEvent {
  readonly name: string
  readonly atMs: number
}

export interface History {
  readonly capacities: ReadonlyMap<string, Resources>
  readonly ceilings: ReadonlyMap<string, Ceiling>
  readonly runs: readonly TaskRunRecord[]
  readonly executions: readonly ExecutionRecord[]
  readonly requests: readonly RequestRecord[]
  readonly jobs: readonly JobRecord[]
  /** Accepted revocations, by key id. */
  readonly revocations: readonly TimedEvent[]
  /** Workers that were marked as leaving or drained. */
  readonly drains: readonly TimedEvent[]
  /** Entries that were asked to shut down gracefully. */
  readonly gracefulShutdowns: readonly TimedEvent[]
  /** Workers that restarted or disappeared. */
  readonly lostWorkers: readonly string[]
  /** Accepted configuration versions and when they were accepted. */
  readonly acceptedConfigs: ReadonlyArray<{ readonly version: number, readonly atMs: number }>
  readonly configObservations: readonly ConfigObservation[]
}

export function createEmptyHistory (): History {
  return {
    capacities: new Map(),
    ceilings: new Map(),
    runs: [],
    executions: [],
    requests: [],
    jobs: [],
    revocations: [],
    drains: [],
    gracefulShutdowns: [],
    lostWorkers: [],
    acceptedConfigs: [],
    configObservations: []
  }
}
