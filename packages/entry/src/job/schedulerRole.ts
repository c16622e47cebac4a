/** Leader election for the scheduler role of the cell, by compare-and-set on the row `cell/<cell>`. */
import {
  CellRow, createDecoder, createDisposableStore, decideCellClaim, type Clock, type Disposable, type EventLog, type Random, type Row
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import type { Sessions } from '../ports.js'
import { createSerialLoop } from '../process/serialLoop.js'
import { ROLE_POLL_INTERVAL_MS } from './constants.js'
import { roleAcquired, roleLost, roleReleased } from './events.js'

/** Options of the scheduler role. */
export interface SchedulerRoleOptions {
  readonly cell: string
  readonly platform: PlatformClient
  readonly sessions: Sessions
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  /** Whether graceful shutdown has begun. */
  readonly isShuttingDown: () => boolean
}

/** Scheduler role held by this entry. */
export interface HeldRole {
  readonly epoch: number
  /** Version of the role's row; a commit that checks it conflicts once another entry holds the role. */
  readonly rowVersion: number
  readonly rowKey: string
}

/** View of the scheduler role at one entry. */
export interface SchedulerRole extends Disposable {
  /** Returns the role if this entry holds it. */
  readHeld: () => HeldRole | null
  /** Returns the holder's incarnation, or `null` if no holder with a valid session is known. */
  findScheduler: () => string | null
  /** Returns the highest epoch of the role that this entry has read. */
  readCellEpoch: () => number
  /** Reads the row again; called after a commit conflict, when the role may be lost. */
  readRow: () => Promise<void>
  /** Releases the role during graceful shutdown; another entry can claim it immediately. */
  release: () => Promise<void>
  onChange: (listener: (held: HeldRole | null) => void) => void
}

const decodeRow = createDecoder(CellRow)

interface ObservedRow {
  readonly row: CellRow
  readonly version: number
}

/** Starts polling the role's row and claims the role when it is free. */
export function createSchedulerRole (options: SchedulerRoleOptions): SchedulerRole {
  const { sessions, platform, events } = options
  const rowKey = `cell/${options.cell}`
  const disposables = createDisposableStore()
  const listeners: ((held: HeldRole | null) => void)[] = []
  let observed: ObservedRow | null = null
  let held: HeldRole | null = null

  const setHeld = (next: HeldRole | null): void => {
    if (held?.epoch === next?.epoch) return
    held = next
    if (next === null) events.record(roleLost, { cell: options.cell })
    else events.record(roleAcquired, { cell: options.cell, epoch: next.epoch })
    for (const listener of listeners) listener(next)
  }

  const applyRow = (row: Row | undefined): void => {
    if (row === undefined) return
    if (observed !== null && row.version < observed.version) return
    const decoded = decodeRow(row.value)
    if (decoded.isErr()) return
    observed = { row: decoded.value, version: row.version }
    const isOwn = decoded.value.incarnation === sessions.incarnation
    setHeld(isOwn ? { epoch: decoded.value.epoch, rowVersion: row.version, rowKey } : null)
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
      eligible: sessions.isValid() && !options.isShuttingDown(),
      isGone: sessions.isGone
    })
    if (claim !== null) await writeRow(claim)
  }

  const readPauseMs = (): number => ROLE_POLL_INTERVAL_MS * (0.8 + 0.4 * options.random.nextFloat())
  disposables.add(createSerialLoop({ clock: options.clock, readPauseMs, runStep }))

  return {
    readHeld: () => held,
    findScheduler: () => {
      const incarnation = observed?.row.incarnation ?? ''
      return incarnation === '' || sessions.isGone(incarnation) ? null : incarnation
    },
    readCellEpoch: () => observed?.row.epoch ?? 0,
    readRow: async () => { await readRow() },
    release: async () => {
      if (held === null) return
      events.record(roleReleased, { cell: options.cell })
      await writeRow({ incarnation: '', epoch: held.epoch })
    },
    onChange: (listener) => { listeners.push(listener) },
    dispose: () => { disposables.dispose() }
  }
}
