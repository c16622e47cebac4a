/** Periodic combined read of the table, shared by all subscribers to rows. */
import { createDisposableStore, startInterval } from '@fuchsiatally/core'
import type { Clock, Disposable, EventLog, Random, Row, TableQuery } from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import { tablePollFailed, tablePollRecovered } from './events.js'
import { createOutageLog } from './outageLog.js'

/** Interval between two reads, in milliseconds. */
export const POLL_INTERVAL_MS = 1_000
const POLL_JITTER_SHARE = 0.1

/** Target of a subscription: one row, or the changed rows under a prefix. */
export type PollTarget = { readonly key: string } | { readonly prefix: string }

/** Times at which a read was sent and answered, on the monotonic clock, and its revision of the table. */
export interface PollInfo {
  readonly sentMs: number
  readonly receivedMs: number
  readonly revision: number
}

/** Receives the row of a key (none if it does not exist), or the changed rows under a prefix (with the value `null` if deleted). */
export type PollReceiver = (rows: readonly Row[], info: PollInfo) => void

export interface TablePollOptions {
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  /** Interval between two reads, in milliseconds; default `POLL_INTERVAL_MS`. */
  readonly intervalMs?: number
}

/** A running poll. */
export interface TablePoll extends Disposable {
  /** Subscribes to a row or prefix from the next read on; all rows of a read belong to one snapshot. */
  addSubscription: (target: PollTarget, receive: PollReceiver) => Disposable
  /** Registers a listener that runs after all subscribers have received the rows of a successful read. */
  onPolled: (receive: (info: PollInfo) => void) => Disposable
  /** Reads at once, or right after the read in flight. */
  readNow: () => void
}

interface Subscription {
  readonly target: PollTarget
  readonly receive: PollReceiver
  sinceRevision: number
}

function buildQuery (subscriptions: readonly Subscription[]): TableQuery {
  const keys = new Set<string>()
  // One query for each pair of revision and prefix: queries cannot be merged, since a wider one would not return deleted rows.
  const prefixes = new Map<string, { prefix: string, sinceRevision: number }>()
  for (const { target, sinceRevision } of subscriptions) {
    if ('key' in target) keys.add(target.key)
    else prefixes.set(`${sinceRevision} ${target.prefix}`, { prefix: target.prefix, sinceRevision })
  }
  return { keys: [...keys], prefixes: [...prefixes.values()] }
}

function pickRows (rows: readonly Row[], { target, sinceRevision }: Subscription): Row[] {
  if ('key' in target) return rows.filter((row) => row.key === target.key && row.value !== null).slice(0, 1)
  const found = new Map<string, Row>()
  for (const row of rows) {
    if (row.key.startsWith(target.prefix) && row.revision > sinceRevision) found.set(row.key, row)
  }
  return [...found.values()]
}

/** Creates and starts the poll. */
export function createTablePoll (options: TablePollOptions): TablePoll {
  const { platform, clock, random, log } = options
  const disposables = createDisposableStore()
  const readOutage = createOutageLog({ log, clock, failed: tablePollFailed, recovered: tablePollRecovered })
  const subscriptions: Subscription[] = []
  const pollListeners: Array<(info: PollInfo) => void> = []
  let lastRevision = 0
  let inFlight = false
  let isRepollQueued = false
  let disposed = false

  const notifySubscribers = (active: readonly Subscription[], rows: readonly Row[], info: PollInfo): void => {
    for (const subscription of active) {
      if (!subscriptions.includes(subscription)) continue
      const own = pickRows(rows, subscription)
      subscription.sinceRevision = info.revision
      subscription.receive(own, info)
    }
  }
  const runPoll = async (): Promise<void> => {
    const active = [...subscriptions]
    const sentMs = clock.nowMs()
    const response = await platform.read(buildQuery(active))
    if (disposed) return
    if (response.isErr()) {
      readOutage.recordFailure({ kind: response.error.kind, message: response.error.message })
      return
    }
    readOutage.recordSuccess()
    // Skips a snapshot older than the last one, which would revert rows.
    if (response.value.revision < lastRevision) return
    lastRevision = response.value.revision
    const info = { sentMs, receivedMs: clock.nowMs(), revision: response.value.revision }
    notifySubscribers(active, response.value.rows, info)
    for (const receive of [...pollListeners]) receive(info)
  }
  const readNow = (): void => {
    if (disposed) return
    if (inFlight) {
      isRepollQueued = true
      return
    }
    inFlight = true
    isRepollQueued = false
    runPoll().finally(() => {
      inFlight = false
      if (isRepollQueued) readNow()
    })
  }
  disposables.add(startInterval(clock, random, options.intervalMs ?? POLL_INTERVAL_MS, POLL_JITTER_SHARE, () => {
    // Skips the interval while a slow read is still in flight.
    if (!inFlight) readNow()
  }))
  return {
    addSubscription: (target, receive) => {
      const subscription = { target, receive, sinceRevision: 0 }
      subscriptions.push(subscription)
      return { dispose: () => removeItem(subscriptions, subscription) }
    },
    onPolled: (receive) => {
      pollListeners.push(receive)
      return { dispose: () => removeItem(pollListeners, receive) }
    },
    readNow,
    dispose: () => {
      disposed = true
      disposables.dispose()
    }
  }
}

function removeItem<T> (items: T[], item: T): void {
  const index = items.indexOf(item)
  if (index >= 0) items.splice(index, 1)
}
