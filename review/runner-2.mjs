/** Stand-in for a runner: fencing, runs, a lease on its own clock, and ended runs that it lists until they are acknowledged. */
import { startServer, wait } from './http-2.mjs'

export const HEARTBEAT_MS = 1500
const HOLD_MAX_MS = 6000
const MAX_WAIT_MS = 2000
const STOP_MS = 30
const MAX_LISTED_ENDS = 500

/**
 * Starts a runner. A specification `{"ms":N}` runs for N milliseconds and ends `done`; without `ms`, it lasts. `onEvent(kind, fields)` receives
 * each start, end and acknowledged end.
 */
export async function startRunner ({ id, service, zone, labels = ['kind-a', 'rack-1'], capacity, store, onEvent, stopMs = STOP_MS }) {
  let startedAtMs = performance.now()
  let born = Date.now()
  let runs = new Map()
  let barred = new Map()
  let ended = []
  let lastEnd = 0
  let fencingToken = 0
  let leaseUntilMs = 0
  let waiters = []
  let sequence = 0
  let hasLapsed = true
  const faults = { cut: false, unhealthy: false }

  const readClock = () => Math.round(performance.now() - startedAtMs)
  const notify = () => {
    const woken = waiters
    waiters = []
    for (const wake of woken) wake()
  }
  const endRun = (task, run, how) => {
    const found = runs.get(task)
    if (found === undefined || found.run !== run) return
    clearTimeout(found.timer)
    runs.delete(task)
    barred.set(task, Math.max(barred.get(task) ?? 0, run))
    lastEnd++
    ended.push([lastEnd, task, run, how, ''])
    onEvent('end', { runner: id, task, run, how })
    notify()
  }
  const leaseTimer = setInterval(() => {
    if (readClock() < leaseUntilMs) return
    if (!hasLapsed) onEvent('lapse', { runner: id })
    hasLapsed = true
    for (const [task, { run }] of [...runs]) endRun(task, run, 'lapsed')
  }, 20)

  /** A lease never shortens. */
  const extendLease = (deadlineMs) => {
    if (deadlineMs <= readClock()) return
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(deadlineMs, readClock() + HOLD_MAX_MS))
    hasLapsed = false
  }
  const startRun = ({ task, run, specification, deadlineMs }) => {
    const refuse = (reason) => ({ status: 409, body: { clockMs: readClock(), reason } })
    if (faults.unhealthy) return { status: 503, body: { clockMs: readClock() } }
    extendLease(deadlineMs)
    if (runs.get(task)?.run === run) return { status: 200, body: { clockMs: readClock() } }
    if ((barred.get(task) ?? 0) >= run || runs.has(task)) return refuse('old')
    if (deadlineMs <= readClock()) return refuse('late')
    const { ms } = specification?.startsWith('{') ? JSON.parse(specification) : {}
    const timer = ms === undefined ? undefined : setTimeout(() => endRun(task, run, 'done'), ms)
    runs.set(task, { run, ms, atMs: performance.now(), timer })
    onEvent('start', { runner: id, task, run })
    return { status: 200, body: { clockMs: readClock() } }
  }
  const stopRun = ({ task, run }) => {
    barred.set(task, Math.max(barred.get(task) ?? 0, run))
    setTimeout(() => endRun(task, run, 'stopped'), stopMs)
    return { status: 200, body: { clockMs: readClock() } }
  }
  const hold = async ({ lastSeen, deadlineMs, waitMs = 0 }) => {
    if (deadlineMs !== undefined) extendLease(deadlineMs)
    for (const [number, task, run, how] of ended) if (number <= lastSeen) onEvent('noted', { runner: id, number, lastSeen, task, run, how })
    ended = ended.filter(([number]) => number > lastSeen)
    if (ended.length === 0 && waitMs > 0) await Promise.race([wait(Math.min(MAX_WAIT_MS, waitMs)), new Promise((resolve) => { waiters.push(resolve) })])
    const running = [...runs].map(([task, { run, ms, atMs }]) => [task, run, '', ms === undefined ? 100 : Math.min(99, Math.floor(100 * (performance.now() - atMs) / ms)), 1])
    return { status: 200, body: { clockMs: readClock(), born, running, ended: ended.slice(0, MAX_LISTED_ENDS) } }
  }
  const handle = async ({ path, headers, body }) => {
    const life = born
    if (faults.cut) return 'silent'
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== id) return { status: 421 }
    if ((body.fencingToken ?? 0) < fencingToken) return { status: 409, body: { clockMs: readClock(), reason: 'fence' } }
    fencingToken = body.fencingToken ?? 0
    const response = path === '/-/run-start' ? startRun(body) : path === '/-/run-stop' ? stopRun(body) : path === '/-/hold' ? await hold(body) : { status: 404 }
    return faults.cut || life !== born ? 'silent' : response
  }
  const server = await startServer(handle)
  const sendHeartbeat = () => {
    if (faults.cut) return
    sequence++
    store.writeRow('servers', id, {
      service, address: server.address, zone, version: '1', slots: 8, state: 'ready', coldRemainingMs: 0, sequence, capacity, labels, born
    })
  }
  sendHeartbeat()
  const heartbeatTimer = setInterval(sendHeartbeat, HEARTBEAT_MS)
  return {
    id,
    faults,
    listRuns: () => [...runs].map(([task, { run }]) => ({ task, run })),
    /** Crashes the runner without a word, and starts it again under its id after `darkMs`; it knows nothing of before. */
    crash: async (darkMs) => {
      faults.cut = true
      for (const [task, { run, timer }] of runs) {
        clearTimeout(timer)
        onEvent('end', { runner: id, task, run, how: 'crashed' })
      }
      runs = new Map()
      barred = new Map()
      ended = []
      lastEnd = fencingToken = leaseUntilMs = 0
      await wait(darkMs)
      startedAtMs = performance.now()
      born = Date.now()
      sequence = 0
      server.forgetConnections()
      faults.cut = false
      sendHeartbeat()
    },
    stop: async () => {
      clearInterval(leaseTimer)
      clearInterval(heartbeatTimer)
      for (const { timer } of runs.values()) clearTimeout(timer)
      await server.stop()
    }
  }
}
