/**
 * Stand-in for a runner: fencing, leases on its own clock, runs, checkpoints, and ends that are listed until they are acknowledged.
 * A task's specification is JSON: `workMs`, and optionally `lasts` (its progress is that of a service) and `saves` (it checkpoints).
 */
import { SILENT, startServer } from './http.mjs'

const HOLD_MAX_MS = 6000
const STOP_MS = 100
const MAX_LISTED_ENDS = 500
const MAX_WAIT_MS = 2000
const HEARTBEAT_MS = 1500
const CHECKPOINT_MS = 1000
const TICK_MS = 20

/** Starts a runner. `history` receives a record of each run. */
export async function startRunner ({ id, service, zone, host, store, history, capacity, labels, record }) {
  let life = null
  let lives = 0
  let isCut = false
  let sequence = 0
  let server = null
  const servers = []
  let stopped = false

  const readClock = () => Math.floor(performance.now() - life.bornAt)
  const createLife = () => ({ number: ++lives, bornAt: performance.now(), bornMs: Date.now(), runs: new Map(), barred: new Map(), ended: [], lastEnd: 0, token: 0, leaseUntilMs: 0, wakers: new Set() })

  const readSaved = (run) => {
    if (!run.spec.saves || run.startedWorkAt === null) return run.saved
    const work = run.savedWork + Math.floor((performance.now() - run.startedWorkAt) / CHECKPOINT_MS) * CHECKPOINT_MS
    return work === 0 ? run.saved : work.toString(16).padStart(16, '0')
  }

  const endRun = (of, run, how) => {
    if (of.runs.get(run.task) !== run) return
    clearTimeout(run.timer)
    of.runs.delete(run.task)
    of.barred.set(run.task, Math.max(of.barred.get(run.task) ?? 0, run.run))
    of.lastEnd++
    const saved = readSaved(run)
    Object.assign(run.entry, { endedAt: performance.now(), how, end: of.lastEnd, life: of.number })
    of.ended.push({ listed: [of.lastEnd, run.task, run.run, how, saved], entry: run.entry })
    record(`${id} ends ${run.task} run ${run.run}: ${how}`)
    for (const wake of of.wakers) wake()
  }

  const beginWork = (of, run) => {
    run.startedWorkAt = performance.now()
    run.timer = setTimeout(endRun, Math.max(0, run.spec.workMs - run.savedWork), of, run, 'done')
  }

  const applyLease = (deadlineMs) => {
    if (deadlineMs === undefined) return
    life.leaseUntilMs = Math.max(life.leaseUntilMs, Math.min(deadlineMs, readClock() + HOLD_MAX_MS))
  }

  const startRun = ({ task, run, specification, deadlineMs, saved = '' }) => {
    const refuse = (reason) => ({ status: 409, body: { clockMs: readClock(), reason } })
    const present = life.runs.get(task)
    if (present?.run === run) return { status: 200, body: { clockMs: readClock() } }
    if (deadlineMs <= readClock()) return refuse('late')
    applyLease(deadlineMs)
    if (present !== undefined || run <= (life.barred.get(task) ?? 0)) return refuse('old')
    const spec = JSON.parse(specification)
    const entry = { task, run, runner: id, life: life.number, startedAt: performance.now(), endedAt: null, how: null, end: null, notedAt: null, lapsedSince: false }
    history.push(entry)
    record(`${id} starts ${task} run ${run}`)
    const started = { task, run, spec, saved, savedWork: saved === '' ? 0 : parseInt(saved, 16), entry, startedWorkAt: null, timer: null }
    life.runs.set(task, started)
    beginWork(life, started)
    return { status: 200, body: { clockMs: readClock() } }
  }

  const stopRun = ({ task, run }) => {
    life.barred.set(task, Math.max(life.barred.get(task) ?? 0, run))
    const present = life.runs.get(task)
    if (present !== undefined && present.run <= run) setTimeout(endRun, STOP_MS, life, present, 'stopped')
    return { status: 200, body: { clockMs: readClock() } }
  }

  const readPercent = (run) => run.startedWorkAt === null ? 0 : run.spec.lasts ? 100 : Math.min(99, Math.floor(100 * (run.savedWork + performance.now() - run.startedWorkAt) / run.spec.workMs))

  const hold = async ({ deadlineMs, lastSeen = 0, waitMs = 0 }) => {
    const of = life
    applyLease(deadlineMs)
    for (const { listed: [number], entry } of of.ended) if (number <= lastSeen) entry.notedAt = performance.now()
    of.ended = of.ended.filter(({ listed: [number] }) => number > lastSeen)
    if (of.ended.length === 0 && waitMs > 0) {
      await new Promise((resolve) => {
        of.wakers.add(resolve)
        setTimeout(resolve, Math.min(MAX_WAIT_MS, waitMs))
      })
      of.wakers.clear()
    }
    if (life !== of || isCut) return SILENT
    return {
      status: 200,
      body: {
        clockMs: readClock(),
        born: of.bornMs,
        running: [...of.runs.values()].map((run) => [run.task, run.run, readSaved(run), readPercent(run), 0]),
        ended: of.ended.slice(0, MAX_LISTED_ENDS).map(({ listed }) => listed)
      }
    }
  }

  const handle = async ({ path, headers, body }) => {
    if (life === null || isCut) return SILENT
    const instance = headers['expect-instance']
    if (instance !== undefined && instance !== id) return { status: 421 }
    const { fencingToken = 0 } = body ?? {}
    if (fencingToken < life.token) return { status: 409, body: { clockMs: readClock(), reason: 'fence' } }
    life.token = fencingToken
    if (path === '/-/run-start') return startRun(body)
    if (path === '/-/run-stop') return stopRun(body)
    if (path !== '/-/hold') return { status: 404 }
    return await hold(body)
  }

  const beat = () => {
    if (life === null || stopped || isCut) return
    sequence++
    store.writeRow('servers', id, { service, address: server.address, zone, version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, capacity, labels, born: life.bornMs, clockMs: readClock(), sequence })
  }

  const tick = setInterval(() => {
    if (life === null || readClock() < life.leaseUntilMs) return
    for (const { entry } of life.ended) entry.lapsedSince = true
    for (const run of [...life.runs.values()]) endRun(life, run, 'lapsed')
  }, TICK_MS)
  const heartbeat = setInterval(beat, HEARTBEAT_MS)

  /** Begins a life of the runner, at an address of its own. */
  const begin = async () => {
    const of = createLife()
    server = await startServer(host, (call) => life === of ? handle(call) : SILENT)
    servers.push(server)
    life = of
    sequence = 0
    record(`${id} begins life ${of.number} at ${server.address}`)
    beat()
  }
  await begin()

  return {
    id,
    readAddress: () => server.address,
    /** Cuts the runner off from all others, or ends the cut; it runs on. */
    setCut: (cut) => {
      isCut = cut
      record(cut ? `${id} is cut off` : `${id} is no longer cut off`)
      if (!cut) beat()
    },
    /** Crashes the runner: all that ran there is gone, and nothing is answered at its address. */
    crash: () => {
      const of = life
      life = null
      record(`${id} crashes`)
      for (const run of of.runs.values()) {
        clearTimeout(run.timer)
        Object.assign(run.entry, { endedAt: performance.now(), how: 'crashed' })
      }
    },
    begin,
    stop: async () => {
      stopped = true
      clearInterval(tick)
      clearInterval(heartbeat)
      for (const run of life?.runs.values() ?? []) clearTimeout(run.timer)
      await Promise.all(servers.map((each) => each.stop()))
    }
  }
}
