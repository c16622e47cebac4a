/** Configuration of queues, services and client accounts that the cells follow. */
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
  /** Longest time in milliseconds that an answer to a caller may take. */
  readonly timeoutMs: number
  readonly advice: AdvicePolicy | null
  /** Open to callers without a key. */
  readonly public: boolean
}

/** A client account. */
export interface TeamConfig {
  readonly name: string
  readonly keys: readonly string[]
  /** Share when all is full; also the jobs a second that are owed to it. */
  readonly weight: number
  /** Ceiling over all cells; infinite where there is none. */
  readonly ceiling: Resources
}

/** Configuration of one version. */
export interface ClusterConfig {
  readonly version: number
  readonly queues: readonly QueueConfig[]
  readonly services: readonly string[]
  readonly teams: readonly TeamConfig[]
  readonly bodyLimitBytes: number
  readonly idleTimeoutMs: number
}

/** Finds the queue of a request: the longest prefix among those of its host. */
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
