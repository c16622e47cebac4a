/** Follows the configuration in the table and tracks the age of the last confirmed read. */
import { createDisposableStore, type ClusterConfig, type Clock, type Disposable, type EventLog } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { MAX_CLOCK_DIVERGENCE_MS, CONFIG_POLL_WAIT_MS, MAX_CONFIG_AGE_SHARE, WRITE_RETRY_MS } from './constants.js'
import { clusterConfigInForce, clusterConfigMalformed, tableUnavailable, tableAvailable } from './events.js'
import type { PartitionBounds, PartitionTable, PlatformRows, TableRow } from './ports.js'
import { createTableFeed } from './tableFeed.js'

export interface ConfigWatchOptions {
  readonly table: PartitionTable
  readonly rows: PlatformRows
  readonly bounds: PartitionBounds
  readonly clock: Clock
  readonly events: EventLog
}

/** View of the configuration in force. */
export interface ConfigWatch extends Disposable {
  readConfig: () => ClusterConfig | null
  /** Whether the configuration is recent enough to accept the keys it lists. */
  isFresh: () => boolean
  onChange: (receive: (config: ClusterConfig) => void) => void
}

export function createConfigWatch (options: ConfigWatchOptions): ConfigWatch {
  const { table, rows, clock, events } = options
  const disposables = createDisposableStore()
  const maxAgeMs = options.bounds.revokeMs * MAX_CONFIG_AGE_SHARE
  const receivers: Array<(config: ClusterConfig) => void> = []
  let config: ClusterConfig | null = null
  let confirmedAt: { nowMs: number, wallMs: number } | null = null
  let wasTableReachable = true

  const applyRow = (row: TableRow): void => {
    if (row.key !== rows.configKey || row.deleted) return
    const decoded = rows.decodeConfig(row)
    if (decoded === null) {
      events.record(clusterConfigMalformed, { version: row.version })
      return
    }
    if (config !== null && decoded.version <= config.version) return
    events.record(clusterConfigInForce, { version: decoded.version, before: config?.version ?? null, queues: decoded.queues.length })
    config = decoded
    for (const receive of receivers) receive(decoded)
  }

  const recordTableReachable = (isReachable: boolean, message: string): void => {
    if (isReachable === wasTableReachable) return
    wasTableReachable = isReachable
    events.record(isReachable ? tableAvailable : tableUnavailable, { message })
  }

  const feed = createTableFeed({
    table,
    name: rows.configTable,
    listParts: () => [''],
    applyRow,
    onRead: (failure) => recordTableReachable(failure === null, failure?.message ?? '')
  })

  const isFresh = (): boolean => {
    if (confirmedAt === null) return false
    const ageMs = clock.nowMs() - confirmedAt.nowMs
    // A suspension stops the monotonic clock but not the wall clock; if the two diverge, the configuration counts as stale.
    const wallAgeMs = clock.wallMs() - confirmedAt.wallMs
    return ageMs <= maxAgeMs && Math.abs(wallAgeMs - ageMs) <= MAX_CLOCK_DIVERGENCE_MS
  }

  const loop = createSerialLoop({
    clock,
    readPauseMs: () => wasTableReachable ? 0 : WRITE_RETRY_MS,
    runStep: async () => {
      // The result of a read is at least as recent as the time at which the read was sent.
      const sentAt = { nowMs: clock.nowMs(), wallMs: clock.wallMs() }
      // Callers are refused while the configuration is stale: after a suspension or an outage the first read does not wait for a change.
      if (await feed.readUpdates(isFresh() ? CONFIG_POLL_WAIT_MS : 0)) confirmedAt = sentAt
    }
  })
  disposables.add(loop)

  return {
    readConfig: () => config,
    isFresh,
    onChange: (receive) => { receivers.push(receive) },
    dispose: () => disposables.dispose()
  }
}
