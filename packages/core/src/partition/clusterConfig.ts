/** Cluster-wide configuration of queues, services and client accounts. */
import type { Resources } from '../schema/resources.js'
import type { AdvicePolicy } from './stepJob.js'

/** A queue that callers submit jobs to. */
export interface QueueConfig {
  readonly name: string
  readonly host: string
  readonly pathPrefix: string
  readonly service: string
  readonly priority: number
  readonly maxAttempts: number
  readonly stretch: number
  readonly targetLatencyMs: number
  /** Maximum response time, in milliseconds. */
  readonly timeoutMs: number
  readonly advice: AdvicePolicy | null
  /** Accepts callers without a key. */
  readonly public: boolean
}

/** A client account. */
export interface TeamConfig {
  readonly name: string
  readonly keys: readonly string[]
  /** Weight of the team's fair share; also its guaranteed rate in jobs per second. */
  readonly weight: number
  /** Ceiling across all partitions; infinite if there is none. */
  readonly ceiling: Resources
}

/** One version of the configuration. */
export interface ClusterConfig {
  readonly version: number
  readonly queues: readonly QueueConfig[]
  readonly services: readonly string[]
  readonly teams: readonly TeamConfig[]
  readonly bodyLimitBytes: number
  readonly idleTimeoutMs: number
}

/** Finds the queue of a request by its host and the longest matching path prefix. */
export function findQueue (config: ClusterConfig, host: string, path: string): QueueConfig | null {
  let best: QueueConfig | null = null
  for (const queue of config.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue
    if (best === null || queue.pathPrefix.length > best.pathPrefix.length) best = queue
  }
  return best
}

/** Finds the client account that a key belongs to. */
export function findTeamOfKey (config: ClusterConfig, key: string): TeamConfig | null {
  for (const team of config.teams) if (team.keys.includes(key)) return team
  return null
}
