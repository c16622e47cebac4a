/** A job whose cancelling was answered with 410 is stored afterwards by the entry that still had its submission in doubt, and runs. */
import { BOUNDS, buildRoute, CANCEL_MS, CONTACT_MS, createId, EXIT_BROKEN, EXIT_HELD, isCalm, runCase, STOP_MS } from '../cluster-2.mjs'
import { wait } from '../http-2.mjs'

/** The users' sheet lets answers be lost for 4.5 s, of 0.35 of the writes at most, and the writes be done 1 to 6 s later. */
const LOST_MS = 3000
const LATE_MS = 5900
const MAX_LOST_SHARE = 0.35
const KEY = 'key-of-tenant'

const capacity = { cpu: 16_000, memMb: 65_536, gpu: 0 }
const options = {
  folder: import.meta.dirname,
  entries: 3,
  runners: Array.from({ length: 6 }, (_, index) => ({ id: `runner-${index}`, service: 'matcher', capacity })),
  routes: [buildRoute({ name: 'watch', service: 'matcher' })],
  tenants: [{ name: 'studio', apiKeys: [KEY], weight: 10, cap: {} }]
}

await runCase(options, async (cluster) => {
  const { entries, note, readMs, send, runners, listStarts } = cluster
  const holder = cluster.findHolder('matcher')
  const [submitter, other] = entries.filter((entry) => entry !== holder)
  await wait(CONTACT_MS)

  // Other clients' jobs: their writes are answered.
  const traffic = { isOver: false }
  const submitOthers = async () => {
    for (let index = 0; !traffic.isOver; index++) {
      const entry = entries[index % entries.length]
      await Promise.all([wait(300), send(entry, 'POST', `/watch/${createId()}`, { key: KEY, body: { specification: '{"ms":400}', steps: [{ count: 1, cpu: 500, memMb: 256, estimateMs: 400 }] } })])
    }
  }
  const others = submitOthers()

  const id = createId()
  const row = (name) => name.table === 'job' && name.key === id
  let lost = 0
  let writes = 0
  const untilMs = readMs() + LOST_MS
  for (const entry of entries) {
    entry.path.faults.loseWrite = (transaction) => {
      if (readMs() > untilMs) return null
      writes++
      if (isCalm() || !transaction.writes.some(row)) return null
      lost++
      note('write is done later, without an answer', { entry: entry.name, lateMs: LATE_MS })
      return LATE_MS
    }
  }
  const body = { specification: '{}', steps: [{ count: 2, cpu: 4000, memMb: 4096, estimateMs: 500, longRunning: true }] }
  const submitted = await send(submitter, 'POST', `/watch/${id}`, { key: KEY, body })
  await wait(100)
  const cancelled = await send(other, 'DELETE', `/watch/${id}`, { key: KEY })
  const cancelledAtMs = readMs()
  if (cancelled === null || (cancelled.status !== 410 && Math.floor(cancelled.status / 100) !== 2)) throw new Error('the cancelling was not answered')
  await wait(untilMs - readMs())
  note('answers are no longer lost', { lost, writes, share: writes === 0 ? 0 : lost / writes })
  if (lost > writes * MAX_LOST_SHARE) throw new Error('more answers were lost than the sheet allows')

  // The last write is done late; after that, nothing is disrupted any more.
  traffic.isOver = true
  await others
  await wait(LATE_MS + CONTACT_MS + BOUNDS.holdMaxMs)
  const calmSinceMs = readMs()
  await wait(CANCEL_MS + STOP_MS)
  const running = runners.flatMap((runner) => runner.listRuns().filter(({ task }) => task.startsWith(`${id}.`)).map((run) => ({ runner: runner.id, ...run })))
  const late = listStarts(id).filter(({ atMs }) => atMs > cancelledAtMs + CANCEL_MS)
  const state = await send(other, 'GET', `/watch/${id}`, { key: KEY })
  note('result', {
    submitted: submitted?.status ?? null, cancelled: cancelled.status, cancelledAtMs, calmSinceMs, startsMoreThanCancelMsLater: late.length, stillRunning: running, state: state?.body?.state ?? state?.status
  })
  return running.length > 0 ? EXIT_BROKEN : EXIT_HELD
})
