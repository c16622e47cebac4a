/** Everything that a run recorded from the outside, for the monitor to judge. */
import type { Ceiling, Resources } from '@fuchsiatally/core'
import type { ConfigSighting, ExecutionRecord, RequestRecord, TaskRunRecord } from './records.js'

/** An accepted job. */
export interface JobRecord {
  readonly job: string
  readonly team: string
  readonly kind: 'batch' | 'gang' | 'service'
  readonly taskCount: number
  /** Phase that the system reported last. */
  readonly phase: string
}

/** Something that happened to a named thing at a time. */
export interface Mark {
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
  /** Key ids whose revocation was accepted. */
  readonly revocations: readonly Mark[]
  /** Workers shown as leaving or drained. */
  readonly leavings: readonly Mark[]
  /** Entries that were told to stop in a planned way. */
  readonly plannedStops: readonly Mark[]
  /** Workers that restarted or vanished. */
  readonly lostWorkers: readonly string[]
  /** Versions of the configuration and when each was accepted. */
  readonly acceptedConfigs: ReadonlyArray<{ readonly version: number, readonly atMs: number }>
  readonly configSightings: readonly ConfigSighting[]
}

/** Creates a history in which nothing happened. */
export function createEmptyHistory (): History {
  return {
    capacities: new Map(),
    ceilings: new Map(),
    runs: [],
    executions: [],
    requests: [],
    jobs: [],
    revocations: [],
    leavings: [],
    plannedStops: [],
    lostWorkers: [],
    acceptedConfigs: [],
    configSightings: []
  }
}
