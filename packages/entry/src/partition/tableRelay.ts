/**
 * Makes calls to the platform's table through peers while the table does not serve this entry. A peer only transports a call: versions,
 * checks and the time from which a read confirms something are those of the entry that asks.
 */
import { createDisposableStore, createResponseTimer, type Clock, type Disposable, type EventLog, type Random, type TableReply, type TableRequest } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { Peer, PeerMesh } from '../ports.js'
import { failProcess } from '../process/failProcess.js'
import { DIRECT_PROBE_INTERVAL_MS, MAX_RELAYED_CALLS, MAX_RELAY_TRIES, RELAY_AVOID_MS, RELAY_PAUSE_MS, RELAY_TIMEOUT_MS } from './constants.js'
import { tableDirect, tableRelayed } from './events.js'
import { PARTITION_TABLE } from './partitionRows.js'
import type { CallFailure, CommitResult, PartitionTable, TableChanges, TableRow } from './ports.js'
import { computeCapacityClass } from './rendezvousRank.js'
import type { MonitoredTable } from './tableHealth.js'

type RelayedCall = TableRequest['call']
type RelayedResult = TableReply['result']

export interface RelayedTableOptions {
  readonly self: Peer
  readonly mesh: PeerMesh
  /** The table as this entry reaches it directly. */
  readonly direct: MonitoredTable
  /** Processor capacity of an entry, in cores. */
  readonly readCores: (entry: string) => number
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
}

/** A table that is reached directly or through peers. */
export interface RelayedTable extends MonitoredTable, Disposable {
  /** Whether the table serves this entry itself. */
  isDirect: () => boolean
}

interface PendingCall {
  readonly peer: string
  /** Receives `null` if the peer did not respond. */
  readonly finish: (result: RelayedResult | null) => void
}

const NO_PEER: CallFailure = { kind: 'refused', message: 'the table does not serve this entry, and no peer could make the call' }

function toFailure (result: Extract<RelayedResult, { kind: 'refused' | 'unknown' }>): CallFailure {
  return { kind: result.kind, message: `relayed: ${result.message}` }
}

function toRelayedFailure ({ kind, message }: CallFailure): RelayedResult {
  return { kind, message }
}

/** Makes a call of a peer. */
async function callTable (table: PartitionTable, call: RelayedCall): Promise<RelayedResult> {
  if (call.kind === 'commit') {
    const result = await table.commit(call.transaction)
    return result.isErr() ? toRelayedFailure(result.error) : result.value.kind === 'applied' ? result.value : { kind: 'conflict', rows: [...result.value.rows] }
  }
  if (call.kind === 'readRange') {
    const result = await table.readRange(call.range)
    return result.isErr() ? toRelayedFailure(result.error) : { kind: 'rows', ...result.value }
  }
  const result = await table.readChanges(call.table, call.version, call.waitMs)
  return result.isErr() ? toRelayedFailure(result.error) : result.value
}

/** Creates the table and starts to make calls for peers. */
export function createRelayedTable (options: RelayedTableOptions): RelayedTable {
  const { self, mesh, direct, clock, random, events } = options
  const disposables = createDisposableStore()
  const pendingCalls = new Map<string, PendingCall>()
  /** Time until which each peer is not asked. */
  const avoidUntilMs = new Map<string, number>()
  let pausedUntilMs = -Infinity
  /** Calls of peers in progress. */
  let inProgress = 0
  let isRelaying = false
  let probe: Disposable | null = null

  const answerCall = async (call: RelayedCall): Promise<RelayedResult> => {
    // A call that would probably fail here is refused before it is sent, so that its sender may ask another peer.
    if (direct.isSuspect() || inProgress >= MAX_RELAYED_CALLS) return { kind: 'refused', message: 'this entry is not served either, or is busy' }
    inProgress++
    try {
      return await callTable(direct, call)
    } finally {
      inProgress--
    }
  }

  mesh.onMessage('tableRequest', ({ exchange, call }, from) => {
    answerCall(call).then((result) => { mesh.sendMessage(from.incarnation, { type: 'tableReply', exchange, result }) }, failProcess)
  })

  mesh.onMessage('tableReply', ({ exchange, result }, from) => {
    const call = pendingCalls.get(exchange)
    if (call?.peer === from.incarnation) call.finish(result)
  })

  mesh.onPeerChange((peer, change) => {
    if (change === 'up') return
    avoidUntilMs.delete(peer.incarnation)
    for (const call of [...pendingCalls.values()]) if (call.peer === peer.incarnation) call.finish(null)
  })

  const mayRelay = (): boolean => clock.nowMs() >= pausedUntilMs && mesh.listPeers().length > 0

  /** Peers in the order in which they are asked: those of the same failure domain first, larger ones before smaller ones, at random among equals. */
  const listCandidates = (): Peer[] => {
    const nowMs = clock.nowMs()
    return mesh.listPeers()
      .filter(({ incarnation }) => (avoidUntilMs.get(incarnation) ?? -Infinity) <= nowMs)
      .map((peer) => ({
        peer,
        distance: peer.failureDomain === self.failureDomain ? 0 : 1,
        capacityClass: computeCapacityClass(options.readCores(peer.entry)),
        order: random.nextFloat()
      }))
      .sort((a, b) => a.distance - b.distance || b.capacityClass - a.capacityClass || a.order - b.order)
      .slice(0, MAX_RELAY_TRIES)
      .map(({ peer }) => peer)
  }

  /** Resolves to `notSent`, to the result, or to `null` if the peer did not respond. */
  const callPeer = (peer: Peer, call: RelayedCall, timeoutMs: number): Promise<RelayedResult | 'notSent' | null> => new Promise((resolve) => {
    const exchange = random.nextId()
    if (!mesh.sendMessage(peer.incarnation, { type: 'tableRequest', exchange, call })) {
      resolve('notSent')
      return
    }
    const finish = (result: RelayedResult | null): void => {
      if (!pendingCalls.delete(exchange)) return
      timer.dispose()
      resolve(result)
    }
    const timer = createResponseTimer({ clock, timeoutMs, onTimeout: () => finish(null) })
    pendingCalls.set(exchange, { peer: peer.incarnation, finish })
  })

  const setRelaying = (relaying: boolean): void => {
    if (relaying === isRelaying) return
    isRelaying = relaying
    events.record(relaying ? tableRelayed : tableDirect, {})
  }

  /** Tries the table itself from time to time, since relayed calls don't show whether it serves this entry again. */
  const scheduleProbe = (): void => {
    probe ??= clock.setTimer(DIRECT_PROBE_INTERVAL_MS, () => {
      const range = { table: PARTITION_TABLE, part: '', from: self.entry, to: `${self.entry}!` }
      direct.readRange(range).then(() => {
        probe = null
        if (direct.isSuspect()) scheduleProbe()
        else setRelaying(false)
      }, failProcess)
    })
  }
  disposables.add({ dispose: () => probe?.dispose() })

  /** Asks peers one after the other; `null` if none of them executed the call. */
  const callPeers = async (call: RelayedCall, timeoutMs: number): Promise<Result<RelayedResult, CallFailure> | null> => {
    scheduleProbe()
    let isUnknown = false
    for (const peer of listCandidates()) {
      const result = await callPeer(peer, call, timeoutMs)
      if (result !== null && result !== 'notSent' && result.kind !== 'refused') {
        setRelaying(true)
        return result.kind === 'unknown' ? err(toFailure(result)) : ok(result)
      }
      avoidUntilMs.set(peer.incarnation, clock.nowMs() + RELAY_AVOID_MS)
      if (result !== null) continue
      // A transaction that may have been applied must not be repeated here: its sender decides by the versions of its rows.
      if (call.kind === 'commit') return err({ kind: 'unknown', message: `relayed: no response from ${peer.entry}` })
      isUnknown = true
    }
    pausedUntilMs = clock.nowMs() + RELAY_PAUSE_MS
    return isUnknown ? err({ kind: 'unknown', message: 'relayed: no response' }) : null
  }

  /** Makes a call directly or, if it is refused or likely to fail, through peers. */
  const runCall = async <T>(
    callDirectly: () => Promise<Result<T, CallFailure>>, call: RelayedCall, timeoutMs: number, toResult: (result: RelayedResult) => T | null
  ): Promise<Result<T, CallFailure>> => {
    let failure = NO_PEER
    const isRelayedFirst = direct.isSuspect() && mayRelay()
    if (!isRelayedFirst) {
      const result = await callDirectly()
      if (result.isOk()) setRelaying(false)
      // A rate limit applies to all entries alike, and a call of unknown outcome is the caller's to settle.
      if (result.isOk() || result.error.kind === 'unknown' || result.error.isOverload === true || !mayRelay()) return result
      failure = result.error
    }
    const relayed = await callPeers(call, timeoutMs)
    if (relayed === null) return err(failure)
    if (relayed.isErr()) return err(relayed.error)
    const value = toResult(relayed.value)
    return value === null ? err({ kind: 'unknown', message: `relayed: unexpected result ${relayed.value.kind}` }) : ok(value)
  }

  return {
    commit: (transaction, timeoutMs) => runCall<CommitResult>(
      () => direct.commit(transaction, timeoutMs),
      { kind: 'commit', transaction },
      Math.min(timeoutMs ?? RELAY_TIMEOUT_MS, RELAY_TIMEOUT_MS),
      (result) => result.kind === 'applied' || result.kind === 'conflict' ? result : null
    ),
    readRange: (range) => runCall<{ rows: readonly TableRow[], version: number }>(
      () => direct.readRange(range),
      { kind: 'readRange', range },
      RELAY_TIMEOUT_MS,
      (result) => result.kind === 'rows' ? result : null
    ),
    readChanges: (table, version, waitMs) => runCall<TableChanges>(
      () => direct.readChanges(table, version, waitMs),
      { kind: 'readChanges', table, version, waitMs },
      waitMs + RELAY_TIMEOUT_MS,
      (result) => result.kind === 'changes' || result.kind === 'historyLost' ? result : null
    ),
    isSuspect: () => direct.isSuspect() && !mayRelay(),
    isDirect: () => !direct.isSuspect(),
    dispose: () => {
      disposables.dispose()
      for (const call of [...pendingCalls.values()]) call.finish(null)
    }
  }
}
