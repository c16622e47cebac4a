/** Judges calls by the configuration in force, before anything is done for them. */
import { findQueue, findTeamOfKey, type ClusterConfig, type Clock, type QueueConfig, type TeamConfig } from '@fuchsiatally/core'

/** What a call says of itself. */
export interface IncomingCall {
  readonly host: string
  readonly path: string
  /** Empty where none was given. */
  readonly key: string
  /** Time that the caller waits, in milliseconds; `null` where it doesn't say. */
  readonly patienceMs: number | null
}

/** A call that may be served. */
export interface AdmittedCall {
  readonly queue: QueueConfig
  /** `null` at a public queue called without a key. */
  readonly team: TeamConfig | null
  /** Path behind the queue's prefix. */
  readonly id: string
  /** Monotonic time until which the caller waits. */
  readonly deadlineMs: number
}

/** `unready`: the configuration is missing or too old to judge by, the caller may come back. */
export type CallVerdict =
  | { readonly kind: 'admitted', readonly call: AdmittedCall }
  | { readonly kind: 'unready' | 'noQueue' | 'unknownKey', readonly message: string }

/** Options of the gate. */
export interface CallGateOptions {
  readonly readConfig: () => ClusterConfig | null
  /** Whether the configuration was confirmed lately enough to judge keys by. */
  readonly isFresh: () => boolean
  readonly clock: Clock
}

/** Creates a judge of calls. */
export function createCallGate (options: CallGateOptions): (incoming: IncomingCall) => CallVerdict {
  return ({ host, path, key, patienceMs }) => {
    const config = options.readConfig()
    if (config === null) return { kind: 'unready', message: 'no configuration yet' }
    const queue = findQueue(config, host, path)
    if (queue === null) return { kind: 'noQueue', message: 'no such queue' }
    const team = findTeamOfKey(config, key)
    if (!queue.public || key !== '') {
      // Neither a key nor its absence can be judged on old knowledge.
      if (!options.isFresh()) return { kind: 'unready', message: 'the configuration may be out of date' }
      if (team === null && !queue.public) return { kind: 'unknownKey', message: 'unknown key' }
    }
    const limitMs = Math.min(patienceMs ?? queue.timeoutMs, queue.timeoutMs)
    return { kind: 'admitted', call: { queue, team, id: path.slice(queue.pathPrefix.length), deadlineMs: options.clock.nowMs() + limitMs } }
  }
}
