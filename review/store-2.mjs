/** Stand-in for the platform's metadata store: rows in parts, transactions and feeds. Each caller gets an address of its own, so that faults can be set for one. */
import { startServer, wait } from './http-2.mjs'

/** Time of a transaction; those of one part run one after another. */
const TRANSACTION_MS = 6
const MAX_ENTRIES = 100
const MAX_ROW_BYTES = 65_536
const MAX_PAGE_ROWS = 500
const MAX_PAGE_BYTES = 1_000_000
const MAX_FEED_WAIT_MS = 30_000

function buildKey ({ table, part = '', key }) {
  return `${table}\n${part}\n${key}`
}

export function createStore () {
  const rows = new Map()
  const tails = new Map()
  const servers = []
  const startedAtMs = performance.now()
  let version = 0
  /** Changes up to this version can no longer be read from a feed. */
  let forgottenVersion = 0
  let waiters = []

  const notify = () => {
    const woken = waiters
    waiters = []
    for (const wake of woken) wake()
  }
  const setRow = ({ table, part = '', key }, value, deleted) => {
    rows.set(buildKey({ table, part, key }), { table, part, key, value, rowVersion: version, ...(deleted ? { deleted: true } : {}) })
  }
  const readVersion = (name) => {
    const row = rows.get(buildKey(name))
    return row === undefined || row.deleted ? 0 : row.rowVersion
  }
  const answer = (found, status = 200, hasMore = false) => ({ status, body: { rows: found, hasMore, rowVersion: version, nowMs: Math.round(performance.now() - startedAtMs) } })

  const applyTransaction = ({ precondition = [], writes = [], deletes = [] }) => {
    if (precondition.length + writes.length + deletes.length > MAX_ENTRIES) return { status: 400 }
    if (writes.some(({ value }) => value.length > MAX_ROW_BYTES * 4 / 3 + 4)) return { status: 400 }
    if (precondition.some((check) => readVersion(check) !== check.rowVersion)) {
      return answer(precondition.map((check) => rows.get(buildKey(check))).filter((row) => row !== undefined && !row.deleted), 412)
    }
    version++
    for (const write of writes) setRow(write, write.value, false)
    for (const name of deletes) if (readVersion(name) > 0) setRow(name, '', true)
    notify()
    return answer([])
  }

  const runTransaction = async (transaction) => {
    const part = [...transaction.precondition ?? [], ...transaction.writes ?? [], ...transaction.deletes ?? []][0]?.part ?? ''
    const current = (tails.get(part) ?? Promise.resolve()).then(() => wait(TRANSACTION_MS))
    tails.set(part, current)
    await current
    return applyTransaction(transaction)
  }

  const readFeed = async (query) => {
    const table = query.get('table')
    const after = Number(query.get('after'))
    const untilMs = performance.now() + Math.min(MAX_FEED_WAIT_MS, Number(query.get('waitMs') ?? 0))
    for (;;) {
      if (after < forgottenVersion) return { status: 410 }
      const changed = [...rows.values()].filter((row) => row.table === table && row.rowVersion > after).sort((a, b) => a.rowVersion - b.rowVersion)
      const leftMs = untilMs - performance.now()
      if (changed.length > 0 || leftMs <= 0) return answer(changed)
      await Promise.race([wait(leftMs), new Promise((resolve) => { waiters.push(resolve) })])
    }
  }

  const readRange = (query) => {
    const [from, to, limit] = [query.get('from'), query.get('to'), Number(query.get('limit') ?? MAX_PAGE_ROWS)]
    const found = [...rows.values()].filter((row) => row.table === query.get('table') && row.part === (query.get('part') ?? '') && !row.deleted &&
      (from === null || row.key >= from) && (to === null || row.key < to)).sort((a, b) => a.key < b.key ? -1 : 1)
    let bytes = 0
    let end = 0
    while (end < found.length && end < Math.min(limit, MAX_PAGE_ROWS) && (bytes += found[end].value.length) <= MAX_PAGE_BYTES) end++
    return answer(found.slice(0, end), 200, end < found.length)
  }

  const readParts = (query) => {
    const parts = new Set([...rows.values()].filter((row) => row.table === query.get('table') && !row.deleted).map((row) => row.part))
    return { status: 200, body: { parts: [...parts].sort(), rowVersion: version } }
  }

  /**
   * Opens an address for one caller. `faults.outage`: `silent`, `refused` (503) or `reset`. `faults.loseWrite(transaction)` returns `null`, or
   * the time in milliseconds after which the write is done, whose answer is lost.
   */
  const open = async (name) => {
    const faults = { outage: null, loseWrite: () => null }
    const handle = async ({ path, query, body }) => {
      if (faults.outage === 'silent' || faults.outage === 'reset') return faults.outage
      if (faults.outage === 'refused') return { status: 503 }
      if (path === '/-/rows-feed') return await readFeed(query)
      if (path === '/-/rows-get') return readRange(query)
      if (path === '/-/rows-parts') return readParts(query)
      if (path !== '/-/rows-tx') return { status: 404 }
      const lateMs = faults.loseWrite(body)
      if (lateMs === null) return await runTransaction(body)
      setTimeout(() => { runTransaction(body) }, lateMs)
      return 'silent'
    }
    const server = await startServer(handle)
    servers.push(server)
    return { name, address: server.address, faults }
  }

  return {
    open,
    /** Writes a row as the operator and the runners do. */
    writeRow: (table, key, value) => {
      version++
      setRow({ table, key }, Buffer.from(JSON.stringify(value)).toString('base64'), false)
      notify()
    },
    deleteRow: (table, key) => {
      version++
      setRow({ table, key }, '', true)
      notify()
    },
    readRow: (table, part, key) => {
      const row = rows.get(buildKey({ table, part, key }))
      return row === undefined || row.deleted ? null : JSON.parse(Buffer.from(row.value, 'base64').toString())
    },
    forgetHistory: () => {
      forgottenVersion = version
      notify()
    },
    stop: () => Promise.all(servers.map((server) => server.stop()))
  }
}
