/** One combined read of the table at a fixed interval, shared by everything that follows rows. */
import { createDisposableStore, startInterval } from '@fuchsiatally/core'
import type { Clock, Disposable, EventLog, Random, Row, TableQuery } from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import { tablePollFailed, tablePollRecovered } from './events.js'
import { createOutageLog } from './outageLog.js'

/** Interval between two reads, in milliseconds. */
export const POLL_INTERVAL_MS = 1_000
const POLL_JITTER = 0.1

/** What a subscriber follows: one row, or the changed rows below a prefix. */
export type PollTarget = { readonly key: string } | { readonly prefix: string }

/** When a read was sent and answered, on the monotonic clock, and the revision that it shows. */
export interface PollInfo {
  readonly sentMs: number
  readonly receivedMs: number
  readonly revision: number
}

/** Receives the row of a key (none if it does not exist) or the changed rows of a prefix (`null` marks deleted). */
export type PollReceiver = (rows: readonly Row[], info: PollInfo) => void

/** Options of the poll. */
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
  /** Follows a row or prefix from the next read on; all rows of one read are one snapshot. */
  addPoll: (target: PollTarget, receive: PollReceiver) => Disposable
  /** Registers a receiver that runs after all rows of a successful read were handed out. */
  onPolled: (receive: (info: PollInfo) => void) => Disposable
  /** Reads at once, or again right after the read in flight. */
  sendPoll: () => void
}

interface Subscription {
  readonly target: PollTarget
  readonly receive: PollReceiver
  sinceRevision: number
}

function buildQuery (subscriptions: readonly Subscription[]): TableQuery {
  const keys = new Set<string>()
  // One query for each pair: a wider one would not show rows that were deleted.
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

/** Creates the poll and starts it. */
export function createTablePoll (options: TablePollOptions): TablePoll {
  const { platform, clock, random, log } = options
  const store = createDisposableStore()
  const outage = createOutageLog({ log, clock, failed: tablePollFailed, recovered: tablePollRecovered })
  const subscriptions: Subscription[] = []
  const polledReceivers: Array<(info: PollInfo) => void> = []
  let lastRevision = 0
  let inFlight = false
  let wanted = false
  let disposed = false

  const handRows = (active: readonly Subscription[], rows: readonly Row[], info: PollInfo): void => {
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
    const answer = await platform.read(buildQuery(active))
    if (disposed) return
    if (answer.isErr()) {
      outage.recordFailure({ kind: answer.error.kind, message: answer.error.message })
      return
    }
    outage.recordSuccess()
    // A snapshot older than one already handed out would take rows back.
    if (answer.value.revision < lastRevision) return
    lastRevision = answer.value.revision
    const info = { sentMs, receivedMs: clock.nowMs(), revision: answer.value.revision }
    handRows(active, answer.value.rows, info)
    for (const receive of [...polledReceivers]) receive(info)
  }
  const sendPoll = (): void => {
    if (disposed) return
    if (inFlight) {
      wanted = true
      return
    }
    inFlight = true
    wanted = false
    runPoll().finally(() => {
      inFlight = false
      if (wanted) sendPoll()
    })
  }
  store.add(startInterval(clock, random, options.intervalMs ?? POLL_INTERVAL_MS, POLL_JITTER, () => {
    // A slow read takes the place of the next one.
    if (!inFlight) sendPoll()
  }))
  return {
    addPoll: (target, receive) => {
      const subscription = { target, receive, sinceRevision: 0 }
      subscriptions.push(subscription)
      return { dispose: () => removeItem(subscriptions, subscription) }
    },
    onPolled: (receive) => {
      polledReceivers.push(receive)
      return { dispose: () => removeItem(polledReceivers, receive) }
    },
    sendPoll,
    dispose: () => {
      disposed = true
      store.dispose()
    }
  }
}

function removeItem<T> (items: T[], item: T): void {
  const index = items.indexOf(item)
  if (index >= 0) items.splice(index, 1)
}
