/** Follows the configuration in the table, and knows how old that knowledge is. */
import { createDisposableStore, type ClusterConfig, type Clock, type Disposable, type EventLog } from '@fuchsiatally/core'
import { createSerialLoop } from '../process/serialLoop.js'
import { CLOCK_DOUBT_MS, CONFIG_WAIT_MS, EVIDENCE_SHARE, WRITE_RETRY_MS } from './constants.js'
import { clusterConfigInForce, clusterConfigMalformed, tableLost, tableRegained } from './events.js'
import type { PartitionBounds, PartitionTable, PlatformRows, TableRow } from './ports.js'
import { createTableFeed } from './tableFeed.js'

/** Options of the watch. */
export interface ConfigWatchOptions {
  readonly table: PartitionTable
  readonly rows: PlatformRows
  readonly bounds: PartitionBounds
  readonly clock: Clock
  readonly events: EventLog
}

/** The configuration in force. */
export interface ConfigWatch extends Disposable {
  readConfig: () => ClusterConfig | null
  /** Whether a key that the configuration shows may be trusted now. */
  isFresh: () => boolean
  onChange: (receive: (config: ClusterConfig) => void) => void
}

/** Starts to follow the configuration. */
export function createConfigWatch (options: ConfigWatchOptions): ConfigWatch {
  const { table, rows, clock, events } = options
  const disposables = createDisposableStore()
  const maxAgeMs = options.bounds.revokeMs * EVIDENCE_SHARE
  const receivers: Array<(config: ClusterConfig) => void> = []
  let config: ClusterConfig | null = null
  let evidence: { nowMs: number, wallMs: number } | null = null
  let reachable = true

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

  const recordReachable = (isReachable: boolean, message: string): void => {
    if (isReachable === reachable) return
    reachable = isReachable
    events.record(isReachable ? tableRegained : tableLost, { message })
  }

  const feed = createTableFeed({
    table,
    name: rows.configTable,
    listParts: () => [''],
    applyRow,
    onRead: (failure) => recordReachable(failure === null, failure?.message ?? '')
  })

  const loop = createSerialLoop({
    clock,
    readPauseMs: () => reachable ? 0 : WRITE_RETRY_MS,
    runStep: async () => {
      // What is read is at least as new as the moment at which the question was sent.
      const asked = { nowMs: clock.nowMs(), wallMs: clock.wallMs() }
      if (await feed.readNews(CONFIG_WAIT_MS)) evidence = asked
    }
  })
  disposables.add(loop)

  return {
    readConfig: () => config,
    isFresh: () => {
      if (evidence === null) return false
      const ageMs = clock.nowMs() - evidence.nowMs
      // A suspension stops the steady clock but not the wall clock; any doubt counts as stale.
      const wallAgeMs = clock.wallMs() - evidence.wallMs
      return ageMs <= maxAgeMs && Math.abs(wallAgeMs - ageMs) <= CLOCK_DOUBT_MS
    },
    onChange: (receive) => { receivers.push(receive) },
    dispose: () => disposables.dispose()
  }
}
