/** In-memory model of the platform: transactional table, object store and VM list. */
import type { Row, TableQuery, TableRead, Transaction, TransactionReport, Vm } from '@fuchsiatally/core'

/** State and operations of the platform. */
export interface TableModel {
  /** Applies all writes if all checks hold; a conflict reports the checked and written rows, deleted ones included. */
  transact: (transaction: Transaction) => TransactionReport
  /** Reads existing rows by key and rows by prefix; a prefix read since a revision above 0 also returns deleted rows. */
  read: (query: TableQuery) => TableRead
  /** Returns the current row for inspection by a test, deleted ones included. */
  findRow: (key: string) => Row | undefined
  putObject: (key: string, body: Uint8Array) => void
  getObject: (key: string) => Uint8Array | null
  /** Adds a VM to the list or replaces it. */
  setVm: (vm: Vm) => void
  removeVm: (id: string) => void
  listVms: () => Vm[]
  /** Copies the current table, for serving stale reads. */
  createSnapshot: () => Pick<TableModel, 'read'>
  /** Number of transactions applied so far. */
  countApplied: () => number
}

/** Creates a platform without rows, objects or VMs. */
export function createTableModel (): TableModel {
  const rows = new Map<string, Row>()
  const objects = new Map<string, Uint8Array>()
  const vms = new Map<string, Vm>()
  let revision = 0
  let applied = 0

  const transact = (transaction: Transaction): TransactionReport => {
    const { checks, writes, writeId } = transaction
    if (!checks.every((check) => readVersion(rows.get(check.key)) === check.version)) {
      return { outcome: 'conflict', revision, rows: listAffectedRows(rows, transaction) }
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
      const snapshotRevision = revision
      return { read: (query) => readRows(copy, snapshotRevision, query) }
    },
    countApplied: () => applied
  }
}

/** Version that checks compare against: 0 for a missing or deleted row. */
function readVersion (row: Row | undefined): number {
  return row === undefined || row.value === null ? 0 : row.version
}

function listAffectedRows (rows: ReadonlyMap<string, Row>, transaction: Transaction): Row[] {
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

/** Copies a value by a JSON round trip; `undefined` counts as a deletion. */
function copyJson (value: unknown): unknown {
  return value === undefined ? null : JSON.parse(JSON.stringify(value))
}
