/** Admission control of calls: authenticates the caller and resolves the queue by the configuration in force. */
import { findQueue, findTeamOfKey, type ClusterConfig, type Clock, type QueueConfig, type TeamConfig } from '@fuchsiatally/core'

/** Parts of a call that decide on its admission. */
export interface IncomingCall {
  readonly host: string
  readonly path: string
  /** Empty if the caller sent none. */
  readonly key: string
  /** Timeout of the caller, in milliseconds; `null` if it states none. */
  readonly timeoutMs: number | null
}

/** A call that has been admitted. */
export interface AdmittedCall {
  readonly queue: QueueConfig
  /** `null` for a call to a public queue without a key. */
  readonly team: TeamConfig | null
  /** Remainder of the path after the queue's prefix. */
  readonly id: string
  /** Deadline of the caller on the monotonic clock. */
  readonly deadlineMs: number
}

/** `unready`: the configuration is missing or stale; the caller may retry. */
export type CallDecision =
  | { readonly kind: 'admitted', readonly call: AdmittedCall }
  | { readonly kind: 'unready' | 'noQueue' | 'unknownKey', readonly message: string }

export interface CallAdmissionOptions {
  readonly readConfig: () => ClusterConfig | null
  /** Whether the configuration was confirmed recently enough to authenticate keys. */
  readonly isConfigFresh: () => boolean
  readonly clock: Clock
}

/** Creates a function that decides on the admission of a call. */
export function createCallAdmission (options: CallAdmissionOptions): (incoming: IncomingCall) => CallDecision {
  return ({ host, path, key, timeoutMs: callerTimeoutMs }) => {
    const config = options.readConfig()
    if (config === null) return { kind: 'unready', message: 'no configuration yet' }
    const queue = findQueue(config, host, path)
    if (queue === null) return { kind: 'noQueue', message: 'no such queue' }
    const team = findTeamOfKey(config, key)
    if (!queue.public || key !== '') {
      // With a stale configuration, neither a key nor its absence can be authenticated.
      if (!options.isConfigFresh()) return { kind: 'unready', message: 'the configuration may be out of date' }
      // A public queue needs no key, but a wrong one is an error of the caller.
      if (team === null) return { kind: 'unknownKey', message: 'unknown key' }
    }
    const limitMs = Math.min(callerTimeoutMs ?? queue.timeoutMs, queue.timeoutMs)
    return { kind: 'admitted', call: { queue, team, id: path.slice(queue.pathPrefix.length), deadlineMs: options.clock.nowMs() + limitMs } }
  }
}
