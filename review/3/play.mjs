/** A task that lasts ends behind a cut; when its runner is back, the task is taken for done for good and is never started again. */
import { runCase } from '../cluster.mjs'
import { sleep, waitUntil } from '../http.mjs'

const PREFIX = '/puxa403/'
const JOB = '5c0e7a21d94b36f8'
const RUNNERS = 6
const TASKS = 2
const RUN_MS = 5000
const CUT_MS = 5400
const WATCH_MS = 25_000
/** The rule counts from 6 s after the last run of a task, and only if its 3 s and the 4 s before them are calm, which machines are `contactMs` after a cut. */
const AFTER_RUN_MS = 6000
const IDLE_MS = 3000
const CALM_BEFORE_MS = 4000
const CONTACT_MS = 3000

const ROUTE = { name: 'r-apjsujq', prefix: PREFIX, service: 'huvo11a', targetLatencyMs: 2500, stretch: 2.2 }
await runCase({ caseUrl: import.meta.url, routes: [ROUTE], services: ['huvo11a'] }, async (cluster, isTrouble) => {
  const { history, record, runners } = cluster
  for (let index = 1; index <= RUNNERS; index++) await cluster.addRunner({ id: `i-7f3a91c${index}`, rack: `r1-${index}` })
  await cluster.startEntries()
  await sleep(3000)
  const job = { specification: JSON.stringify({ workMs: RUN_MS, lasts: true }), steps: [{ count: TASKS, cpu: 4000, memMb: 12000, estimateMs: 500, longRunning: true }] }
  if (await cluster.submit(PREFIX + JOB, job) === null) throw new Error('the job was not accepted')
  if (!await waitUntil(() => history.length === TASKS, 5000, 10)) throw new Error('the tasks were not started')
  // The first runs end one second after the runner has been cut off, long before its lease expires.
  await sleep(history[0].startedAt + RUN_MS - 1000 - performance.now())
  if (isTrouble) {
    const runner = runners.find(({ id }) => id === history[0].runner)
    runner.setCut(true)
    setTimeout(() => runner.setCut(false), CUT_MS).unref()
  }
  await sleep(CUT_MS)
  const judgedFrom = performance.now() + CONTACT_MS + CALM_BEFORE_MS
  let longestIdleMs = 0
  const until = performance.now() + WATCH_MS
  while (performance.now() < until) {
    await sleep(100)
    for (let index = 0; index < TASKS; index++) {
      const runs = history.filter(({ task }) => task === `${JOB}.0.0.${index}`)
      if (runs.some(({ endedAt }) => endedAt === null)) continue
      const since = Math.max(judgedFrom, Math.max(...runs.map(({ endedAt }) => endedAt)) + AFTER_RUN_MS)
      longestIdleMs = Math.max(longestIdleMs, Math.round(performance.now() - since))
    }
  }
  const state = (await cluster.callEntry(cluster.entries[0], 'GET', PREFIX + JOB))?.body?.state
  record(`job: ${state}, which nobody has cancelled; runs: ${history.map(({ task, run, runner, how }) => `${task} run ${run} at ${runner}: ${how ?? 'runs'}`).join('; ')}`)
  record(`longest time that counts without a run of one of the tasks: ${longestIdleMs} ms`)
  return longestIdleMs < IDLE_MS ? null : `LOST: a task that lasts had nothing running for ${longestIdleMs} ms that count, and the job is shown as ${state}`
})
