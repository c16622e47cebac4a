/** Stand-in for the platform's metadata store: rows, transactions of one part, ranges and the change feed, with the limits that the users' pages state. */
import { sleep, startServer } from './http.mjs'

const TRANSACTION_MS = 6
const MAX_ENTRIES = 100
const MAX_CALL_BYTES = 1_000_000
const ROW_BYTES = 65_536
const MAX_PAGE_ROWS = 500
const MAX_PAGE_BYTES = 1_000_000
const MAX_NAME_BYTES = 200
const HISTORY_MS = 20_000

/** Starts an empty store; while `isDown`, it answers each call with 503 and does nothing. */
export async function startStore (host, record) {
  const rows = new Map()
  const parts = new Map()
  const waiters = new Set()
  const startedAt = performance.now()
  const history = []
  let version = 0
  let forgottenVersion = 0
  const control = { isDown: false, rejectedTransactions: 0 }

  const keyOf = ({ table, part = '', key }) => `${table}\n${part}\n${key}`
  const put = ({ table, part = '', key }, value, deleted) => {
    rows.set(keyOf({ table, part, key }), { table, part, key, ...(deleted ? { deleted } : { value }), rowVersion: version })
  }
  const read = (name) => {
    const row = rows.get(keyOf(name))
    return row === undefined || row.deleted ? null : row
  }
  const answer = (found, extra = {}) => ({ rows: found, hasMore: false, rowVersion: version, nowMs: Math.round(performance.now() - startedAt), ...extra })
  const advance = () => {
    version++
    const now = performance.now()
    history.push([version, now])
    while (history.length > 0 && now - history[0][1] > HISTORY_MS) forgottenVersion = history.shift()[0]
  }
  const wakeAll = () => {
    for (const wake of waiters) wake()
    waiters.clear()
  }

  const findFault = ({ precondition = [], writes = [], deletes = [] }, bytes) => {
    const all = [...precondition, ...writes, ...deletes]
    if (all.length === 0 || all.length > MAX_ENTRIES || bytes > MAX_CALL_BYTES) return 'size of the call'
    if (new Set(all.map(({ part = '' }) => part)).size > 1) return 'more than one part'
    for (const { table, part = '', key } of all) {
      for (const name of [table, part, key]) if (typeof name !== 'string' || Buffer.byteLength(name) > MAX_NAME_BYTES) return 'name'
    }
    for (const { table, key, value } of writes) {
      const length = Buffer.from(value, 'base64').length
      if (length > ROW_BYTES) return `value of ${table}/${key}: ${length} bytes`
    }
    return null
  }

  const transact = async (body) => {
    const fault = findFault(body, JSON.stringify(body).length)
    if (fault !== null) {
      if (control.rejectedTransactions++ < 3) record(`store rejects a transaction with 400: ${fault}`)
      return { status: 400, body: { error: fault } }
    }
    const { precondition = [], writes = [], deletes = [] } = body
    if ([...writes, ...deletes].some(({ table }) => table === 'op' || table === 'servers')) return { status: 403 }
    const part = [...precondition, ...writes, ...deletes][0].part ?? ''
    const turn = (parts.get(part) ?? Promise.resolve()).then(() => sleep(TRANSACTION_MS))
    parts.set(part, turn)
    await turn
    if (precondition.some((check) => (read(check)?.rowVersion ?? 0) !== check.rowVersion)) {
      return { status: 412, body: answer(precondition.map(read).filter((row) => row !== null)) }
    }
    advance()
    for (const write of writes) put(write, write.value, false)
    for (const name of deletes) put(name, '', true)
    wakeAll()
    return { status: 200, body: { rowVersion: version, nowMs: Math.round(performance.now() - startedAt) } }
  }

  const readRange = (query) => {
    const [table, part, from, to] = [query.get('table'), query.get('part') ?? '', query.get('from'), query.get('to')]
    const limit = Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS))
    const found = [...rows.values()].filter((row) => !row.deleted && row.table === table && row.part === part && (from === null || row.key >= from) && (to === null || row.key < to))
    found.sort((a, b) => a.key < b.key ? -1 : 1)
    let bytes = 0
    const page = []
    for (const row of found) {
      bytes += row.value.length
      if (page.length === limit || (page.length > 0 && bytes > MAX_PAGE_BYTES)) break
      page.push(row)
    }
    return { status: 200, body: answer(page, { hasMore: page.length < found.length }) }
  }

  const readFeed = async (query) => {
    const [table, after, waitMs] = [query.get('table'), Number(query.get('after')), Math.min(30_000, Number(query.get('waitMs') ?? 0))]
    if (after < forgottenVersion) return { status: 410 }
    const list = () => [...rows.values()].filter((row) => row.table === table && row.rowVersion > after).sort((a, b) => a.rowVersion - b.rowVersion)
    const until = performance.now() + waitMs
    for (let found = list(); ; found = list()) {
      const leftMs = until - performance.now()
      if (found.length > 0 || leftMs <= 0) return { status: 200, body: answer(found) }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs)
        waiters.add(() => {
          clearTimeout(timer)
          resolve()
        })
      })
    }
  }

  const handle = async ({ path, query, body }) => {
    if (control.isDown) return { status: 503 }
    if (path === '/-/rows-tx') return await transact(body)
    if (path === '/-/rows-get') return readRange(query)
    if (path === '/-/rows-feed') return await readFeed(query)
    return { status: 404 }
  }

  const server = await startServer(host, handle)
  const writeRow = (table, key, value) => {
    advance()
    put({ table, key }, Buffer.from(JSON.stringify(value)).toString('base64'), false)
    wakeAll()
  }
  return {
    ...server,
    control,
    writeRow,
    readRow: (table, part, key) => {
      const row = read({ table, part, key })
      return row === null ? null : JSON.parse(Buffer.from(row.value, 'base64').toString())
    }
  }
}
