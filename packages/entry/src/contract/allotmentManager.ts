/** Manages this entry's allotments. An allotment is its part of a team's ceiling on requests; the table stores how each ceiling is split between the entries. */
import {
  AllotmentRow, createAllotment, createDecoder, createDisposableStore, startInterval,
  type Allotment, type AllotmentPlan, type Clock, type ConfigDocument, type Disposable, type EventLog,
  type Heartbeat, type Random, type Row, type Transaction
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import type { ConfigStore, Sessions } from '../ports.js'
import { allotmentChanged, allotmentMalformed, allotmentInDoubt } from '../request/events.js'

/** Interval between checks of the allotments. */
const STEP_INTERVAL_MS = 100
/** Interval between reads of the allotment rows. */
const READ_INTERVAL_MS = 1000
/** The same while a team is starved: its requests lack only allotment. */
const STARVED_READ_INTERVAL_MS = 200
/** Time after which a peer's demand expires unless a heartbeat renews it. */
const DEMAND_TTL_MS = 2500
/** Window over which peak use is tracked; only allotment above the peak is transferred to peers. */
const PEAK_WINDOW_MS = 1000
/** Minimum interval between two transfers of one team's allotment to the same peer. */
const TRANSFER_INTERVAL_MS = 300
/**
 * An owner that has lost contact with its workers starts no exchange after this time. The allotment of a fenced entry is
 * reclaimed after this time plus that of the longest exchange.
 */
const CONTACT_LOSS_TIMEOUT_MS = 3000
const MAX_TRANSACTIONS_IN_FLIGHT = 8

const ROW_PREFIX = 'allotment/'
const decodeRow = createDecoder(AllotmentRow)

/** Dependencies of the allotment manager. */
export interface AllotmentManagerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly platform: PlatformClient
  readonly sessions: Sessions
  readonly config: ConfigStore
  readonly log: EventLog
  /** Whether each worker that the incarnation owned has been taken over and fenced, or is gone. */
  readonly isFenced: (incarnation: string) => boolean
  /** Number of the team's requests that lack only allotment: queued ones with a free slot, and recently redirected ones. */
  readonly countStarved: (team: string) => number
  readonly hasEndpoints: () => boolean
  /** Called when the free allotment of a team has increased. */
  readonly onIncrease: () => void
}

/** Allotments held by this entry. */
export interface AllotmentManager extends Disposable {
  /** Counts an exchange of the team as in flight, or returns `false` if the allotment is exhausted. */
  charge: (team: string) => boolean
  release: (team: string) => void
  countFree: (team: string) => number
  /** Size of this entry's allotment of the team. */
  countAllotted: (team: string) => number
  listDemand: () => Heartbeat['allotmentDemand']
  /** Records a peer's demand, which is met from this entry's spare allotment. */
  recordDemand: (incarnation: string, demand: Heartbeat['allotmentDemand']) => void
  /** Returns the allotments to the table on graceful shutdown, except those with exchanges in flight or a pending transaction. */
  releaseAll: () => Promise<void>
}

interface Demand {
  readonly waiting: number
  readonly receivedMs: number
}

interface TeamState {
  readonly allotment: Allotment
  /** Peak number of exchanges in flight in the current and the previous window; allotment up to it is not transferred. */
  readonly peak: { current: number, previous: number, sinceMs: number }
  readonly demands: Map<string, Demand>
  readonly lastTransferMs: Map<string, number>
  /** Transaction that is being sent or has an unknown outcome. */
  transaction: Transaction | null
  /** Whether a call to the table with the transaction is in progress. */
  isSending: boolean
}

/** Starts the periodic checks. */
export function createAllotmentManager (options: AllotmentManagerOptions): AllotmentManager {
  const { clock, sessions, platform, log } = options
  const incarnation = sessions.incarnation
  const store = createDisposableStore()
  const teams = new Map<string, TeamState>()
  const fencedSinceMs = new Map<string, number>()
  let readRevision = 0
  let hasRead = false
  let lastReadMs = -Infinity
  let reading = false
  let transactionsInFlight = 0
  let longestExchangeMs = 0
  let leaving = false

  const getTeam = (team: string): TeamState => {
    const known = teams.get(team)
    if (known !== undefined) return known
    const state: TeamState = {
      allotment: createAllotment(incarnation),
      peak: { current: 0, previous: 0, sinceMs: clock.nowMs() },
      demands: new Map(),
      lastTransferMs: new Map(),
      transaction: null,
      isSending: false
    }
    teams.set(team, state)
    return state
  }

  const updateDocument = (document: ConfigDocument): void => {
    for (const team of document.manifest.teams) {
      getTeam(team.name).allotment.updateCeiling(team.ceiling.requests, document.version)
    }
    for (const service of document.manifest.services) longestExchangeMs = Math.max(longestExchangeMs, service.timeoutMs)
  }

  const updateRow = (row: Row): void => {
    const team = row.key.slice(ROW_PREFIX.length)
    const state = getTeam(team)
    const decoded = row.value === null ? null : decodeRow(row.value)
    if (decoded?.isErr() === true) return log.record(allotmentMalformed, { team, fault: decoded.error.message })
    const before = state.allotment.countFree()
    state.allotment.updateRow(row.version, decoded === null ? null : decoded._unsafeUnwrap())
    if (state.allotment.countFree() > before) options.onIncrease()
  }

  const readRows = async (): Promise<void> => {
    reading = true
    lastReadMs = clock.nowMs()
    const read = await platform.read({ keys: [], prefixes: [{ prefix: ROW_PREFIX, sinceRevision: readRevision }] })
    reading = false
    if (read.isErr()) return
    hasRead = true
    for (const row of read.value.rows) updateRow(row)
    readRevision = Math.max(readRevision, read.value.revision)
  }

  /** Holders whose allotment can be reclaimed: gone, fenced, and past the end of any exchange that they may have started. */
  const listEndedHolders = (allotment: Allotment): string[] => {
    const nowMs = clock.nowMs()
    const ended: string[] = []
    for (const holder of allotment.listHolders()) {
      if (holder === incarnation || !sessions.isGone(holder) || !options.isFenced(holder)) {
        fencedSinceMs.delete(holder)
        continue
      }
      const since = fencedSinceMs.get(holder) ?? nowMs
      fencedSinceMs.set(holder, since)
      if (nowMs - since >= longestExchangeMs + CONTACT_LOSS_TIMEOUT_MS) ended.push(holder)
    }
    return ended
  }

  const countInitialPart = (ceiling: number): number => {
    const live = sessions.listSessions().filter((session) => !session.expired && !session.leaving).length
    return Math.ceil(ceiling / Math.max(1, live))
  }

  const countWanted = (team: string, allotment: Allotment): number => {
    if (leaving || !options.hasEndpoints()) return 0
    if (allotment.readPart() > 0) return allotment.countFree() > 0 ? 0 : options.countStarved(team)
    const ceiling = options.config.readDocument()?.manifest.teams.find((other) => other.name === team)?.ceiling.requests
    return countInitialPart(ceiling ?? 0)
  }

  const updatePeak = (state: TeamState): void => {
    const { peak, allotment } = state
    const elapsedMs = clock.nowMs() - peak.sinceMs
    if (elapsedMs >= PEAK_WINDOW_MS) {
      peak.previous = elapsedMs >= 2 * PEAK_WINDOW_MS ? 0 : peak.current
      peak.current = 0
      peak.sinceMs = clock.nowMs()
    }
    peak.current = Math.max(peak.current, allotment.countInUse())
  }

  /** Free allotment beyond the recent peak of use. */
  const countSpare = (state: TeamState): number => {
    updatePeak(state)
    const reserved = Math.max(state.peak.current, state.peak.previous) - state.allotment.countInUse()
    return Math.max(0, state.allotment.countFree() - reserved)
  }

  const collectTransfers = (state: TeamState): { incarnation: string, amount: number }[] => {
    const transfers = []
    const nowMs = clock.nowMs()
    let spare = countSpare(state)
    for (const [peer, demand] of state.demands) {
      if (nowMs - demand.receivedMs > DEMAND_TTL_MS || sessions.isGone(peer)) {
        state.demands.delete(peer)
        continue
      }
      if (nowMs - (state.lastTransferMs.get(peer) ?? -Infinity) < TRANSFER_INTERVAL_MS) continue
      const amount = Math.min(spare, demand.waiting)
      if (amount > 0) transfers.push({ incarnation: peer, amount })
      spare -= amount
    }
    return transfers
  }

  const createTransaction = (team: string, plan: AllotmentPlan): Transaction => {
    const key = ROW_PREFIX + team
    return {
      writeId: options.random.nextId(),
      checks: [{ key, version: plan.checkVersion }],
      writes: [{ key, value: plan.row }]
    }
  }

  /** Sends the team's transaction; one of unknown outcome is sent again, with the same write id, by a later step. */
  const runTransaction = async (team: string, state: TeamState, transaction: Transaction): Promise<void> => {
    state.isSending = true
    transactionsInFlight += 1
    const result = await platform.transact(transaction)
    transactionsInFlight -= 1
    state.isSending = false
    if (result.isErr()) return log.record(allotmentInDoubt, { team, reason: result.error.kind })
    state.transaction = null
    for (const row of result.value.rows) updateRow(row)
    if (result.value.kind === 'conflict') return state.allotment.dropPlan()
    log.record(allotmentChanged, { team, part: state.allotment.readPart(), inUse: state.allotment.countInUse() })
  }

  const decideTransaction = (team: string, state: TeamState): Transaction | null => {
    if (state.transaction !== null) return state.transaction
    const transfers = collectTransfers(state)
    const wanted = countWanted(team, state.allotment)
    const plan = state.allotment.planChange({ wanted, transfers, ended: listEndedHolders(state.allotment) })
    if (plan === undefined) return null
    for (const transfer of transfers) state.lastTransferMs.set(transfer.incarnation, clock.nowMs())
    state.transaction = createTransaction(team, plan)
    return state.transaction
  }

  const step = (): void => {
    let starved = false
    for (const [team, state] of teams) {
      if (state.allotment.countFree() === 0 && options.countStarved(team) > 0) starved = true
      if (state.isSending || transactionsInFlight >= MAX_TRANSACTIONS_IN_FLIGHT || !hasRead) continue
      const transaction = decideTransaction(team, state)
      if (transaction !== null) runTransaction(team, state, transaction)
    }
    const intervalMs = starved ? STARVED_READ_INTERVAL_MS : READ_INTERVAL_MS
    if (!reading && clock.nowMs() - lastReadMs >= intervalMs) readRows()
  }

  const releaseTeam = async (team: string, state: TeamState): Promise<void> => {
    if (state.transaction !== null || state.isSending) return
    const plan = state.allotment.planRelease()
    if (plan === undefined) return
    state.transaction = createTransaction(team, plan)
    await runTransaction(team, state, state.transaction)
  }

  const document = options.config.readDocument()
  if (document !== null) updateDocument(document)
  store.add(options.config.onChange(updateDocument))
  store.add(startInterval(clock, options.random, STEP_INTERVAL_MS, 0.2, step))

  return {
    charge: (team) => {
      const state = teams.get(team)
      if (state?.allotment.charge() !== true) return false
      updatePeak(state)
      return true
    },
    release: (team) => { getTeam(team).allotment.release() },
    countFree: (team) => teams.get(team)?.allotment.countFree() ?? 0,
    countAllotted: (team) => teams.get(team)?.allotment.readPart() ?? 0,
    listDemand: () => {
      const demand = []
      for (const [team, state] of teams) {
        const waiting = state.allotment.countFree() > 0 ? 0 : options.countStarved(team)
        if (waiting > 0) demand.push({ team, waiting })
      }
      return demand
    },
    recordDemand: (peer, demand) => {
      for (const { team, waiting } of demand) {
        teams.get(team)?.demands.set(peer, { waiting, receivedMs: clock.nowMs() })
      }
    },
    releaseAll: async () => {
      leaving = true
      for (const [team, state] of teams) await releaseTeam(team, state)
    },
    dispose: store.dispose
  }
}
