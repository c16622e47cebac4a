/** Pure model of the platform: transactional table, object store and VM list. */
import type { Row, TableQuery, TableRead, Transaction, TransactionReport, Vm } from '@fuchsiatally/core'

/** The platform's state and what it answers. */
export interface TableModel {
  /** Applies all writes if all checks hold; a conflict reports the checked and written rows, deleted ones included. */
  transact: (transaction: Transaction) => TransactionReport
  /** Reads existing rows by key, and rows below prefixes; after a revision above 0 deleted rows too. */
  read: (query: TableQuery) => TableRead
  /** Row as it stands, without counting as a read of a client. */
  findRow: (key: string) => Row | undefined
  putObject: (key: string, body: Uint8Array) => void
  getObject: (key: string) => Uint8Array | null
  /** Replaces or adds a VM of the list. */
  setVm: (vm: Vm) => void
  removeVm: (id: string) => void
  listVms: () => Vm[]
  /** Copy of the table as it stands, for answering old reads. */
  createSnapshot: () => Pick<TableModel, 'read'>
  /** Transactions applied so far. */
  countApplied: () => number
}

/** Creates an empty platform. */
export function createTableModel (): TableModel {
  const rows = new Map<string, Row>()
  const objects = new Map<string, Uint8Array>()
  const vms = new Map<string, Vm>()
  let revision = 0
  let applied = 0

  const transact = (transaction: Transaction): TransactionReport => {
    const { checks, writes, writeId } = transaction
    if (!checks.every((check) => readVersion(rows.get(check.key)) === check.version)) {
      return { outcome: 'conflict', revision, rows: listTouched(rows, transaction) }
    }
    revision += 1
    applied += 1
    const written: Row[] = []
    for (const write of writes) {
      const version = (rows.get(write.key)?.version ?? 0) + 1
      const row = { key: write.key, version, revision, writeId, value: copyJson(write.value) }
      rows.set(write.key, row)
      written.push(row)
    }
    return { outcome: 'applied', revision, rows: written }
  }

  return {
    transact,
    read: (query) => readRows(rows, revision, query),
    findRow: (key) => rows.get(key),
    putObject: (key, body) => { objects.set(key, Uint8Array.from(body)) },
    getObject: (key) => objects.get(key) ?? null,
    setVm: (vm) => { vms.set(vm.id, vm) },
    removeVm: (id) => { vms.delete(id) },
    listVms: () => [...vms.values()],
    createSnapshot: () => {
      const copy = new Map(rows)
      const at = revision
      return { read: (query) => readRows(copy, at, query) }
    },
    countApplied: () => applied
  }
}

/** Version as checks see it: 0 while the row does not exist. */
function readVersion (row: Row | undefined): number {
  return row === undefined || row.value === null ? 0 : row.version
}

function listTouched (rows: ReadonlyMap<string, Row>, transaction: Transaction): Row[] {
  const keys = new Set([...transaction.checks, ...transaction.writes].map((item) => item.key))
  return [...keys].flatMap((key) => rows.get(key) ?? [])
}

function readRows (rows: ReadonlyMap<string, Row>, revision: number, query: TableQuery): TableRead {
  const found = new Map<string, Row>()
  for (const key of query.keys) {
    const row = rows.get(key)
    if (row !== undefined && row.value !== null) found.set(key, row)
  }
  for (const { prefix, sinceRevision } of query.prefixes) {
    for (const row of rows.values()) {
      if (!row.key.startsWith(prefix) || row.revision <= sinceRevision) continue
      if (row.value !== null || sinceRevision > 0) found.set(row.key, row)
    }
  }
  return { revision, rows: [...found.values()] }
}

/** Copies a value as a trip through JSON would; `undefined` counts as a deletion. */
function copyJson (value: unknown): unknown {
  return value === undefined ? null : JSON.parse(JSON.stringify(value))
}
