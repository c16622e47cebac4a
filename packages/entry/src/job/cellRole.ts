/** Holds or seeks the scheduler role of the cell by the row `cell/<cell>`. */
import {
  CellRow, createDecoder, createDisposableStore, decideCellClaim, type Clock, type Disposable, type EventLog, type Random, type Row
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import type { Sessions } from '../ports.js'
import { createSerialLoop } from '../process/serialLoop.js'
import { ROLE_POLL_MS } from './constants.js'
import { roleLost, roleReleased, roleTaken } from './events.js'

/** Options of the role. */
export interface CellRoleOptions {
  readonly cell: string
  readonly platform: PlatformClient
  readonly sessions: Sessions
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  /** Whether a planned stop has begun. */
  readonly isLeaving: () => boolean
}

/** The role while this entry holds it. */
export interface HeldRole {
  readonly epoch: number
  /** Version of the row; a commit that checks it fails once another entry holds the role. */
  readonly rowVersion: number
  readonly rowKey: string
}

/** The scheduler role as this entry sees it. */
export interface CellRole extends Disposable {
  /** The role if this entry holds it. */
  readHeld: () => HeldRole | null
  /** Incarnation of the holder, or `null` if none is known to live. */
  findScheduler: () => string | null
  /** Highest epoch of the role that this entry has read. */
  readCellEpoch: () => number
  /** A commit conflicted: the role may be lost. Reads the row again. */
  verify: () => Promise<void>
  /** Gives the role up in a planned stop. */
  release: () => Promise<void>
  onChange: (receive: (held: HeldRole | null) => void) => void
}

const decodeRow = createDecoder(CellRow)

interface ObservedRow {
  readonly row: CellRow
  readonly version: number
}

/** Starts seeking the role. */
export function createCellRole (options: CellRoleOptions): CellRole {
  const { sessions, platform, events } = options
  const rowKey = `cell/${options.cell}`
  const disposables = createDisposableStore()
  const receivers: ((held: HeldRole | null) => void)[] = []
  let observed: ObservedRow | null = null
  let held: HeldRole | null = null

  const setHeld = (next: HeldRole | null): void => {
    if (held?.epoch === next?.epoch) return
    held = next
    if (next === null) events.record(roleLost, { cell: options.cell })
    else events.record(roleTaken, { cell: options.cell, epoch: next.epoch })
    for (const receive of receivers) receive(next)
  }

  const applyRow = (row: Row | undefined): void => {
    if (row === undefined) return
    if (observed !== null && row.version < observed.version) return
    const decoded = decodeRow(row.value)
    if (decoded.isErr()) return
    observed = { row: decoded.value, version: row.version }
    const mine = decoded.value.incarnation === sessions.incarnation
    setHeld(mine ? { epoch: decoded.value.epoch, rowVersion: row.version, rowKey } : null)
  }

  const readRow = async (): Promise<boolean> => {
    const read = await platform.read({ keys: [rowKey], prefixes: [] })
    if (read.isErr()) return false
    applyRow(read.value.rows.find((row) => row.key === rowKey))
    return true
  }

  const writeRow = async (value: CellRow): Promise<void> => {
    const outcome = await platform.transact({
      writeId: options.random.nextId(),
      checks: [{ key: rowKey, version: observed?.version ?? 0 }],
      writes: [{ key: rowKey, value }]
    })
    if (outcome.isOk()) applyRow(outcome.value.rows.find((row) => row.key === rowKey))
  }

  const runStep = async (): Promise<void> => {
    if (!await readRow()) return
    const claim = decideCellClaim({
      row: observed?.row ?? null,
      incarnation: sessions.incarnation,
      eligible: sessions.isValid() && !options.isLeaving(),
      isGone: sessions.isGone
    })
    if (claim !== null) await writeRow(claim)
  }

  const readPauseMs = (): number => ROLE_POLL_MS * (0.8 + 0.4 * options.random.nextFloat())
  disposables.add(createSerialLoop({ clock: options.clock, readPauseMs, runStep }))

  return {
    readHeld: () => held,
    findScheduler: () => {
      const incarnation = observed?.row.incarnation ?? ''
      return incarnation === '' || sessions.isGone(incarnation) ? null : incarnation
    },
    readCellEpoch: () => observed?.row.epoch ?? 0,
    verify: async () => { await readRow() },
    release: async () => {
      if (held === null) return
      events.record(roleReleased, { cell: options.cell })
      await writeRow({ incarnation: '', epoch: held.epoch })
    },
    onChange: (receive) => { receivers.push(receive) },
    dispose: () => { disposables.dispose() }
  }
}
