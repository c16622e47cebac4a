/** A scheduled job's state outgrows one row of the store: from then on no commit of the holder is accepted, and all work of the partition stands still. */
import { runCase } from '../cluster.mjs'
import { sleep } from '../http.mjs'

const PREFIX = '/lohu930/'
const SCHEDULED_JOB = '5c0e7a21d94b36f8'
const SCHEDULED = { workMs: 1500, tasks: 20, runCount: 200, intervalMs: 250 }
const SMALL = { workMs: 500, tasks: 2, count: 42 }
const FINISH_MS = 14_000
/** A client asks again at another entry while a state can't be read. */
const MAX_GETS = 20

const buildId = (index) => `00000000000${String(index).padStart(5, '0')}`
const describe = (states) => [...new Set(states)].map((state) => `${states.filter((other) => other === state).length} ${state}`).join(', ')

await runCase({ caseUrl: import.meta.url, routes: [{ name: 'r-1', prefix: PREFIX, service: 'huvo11a' }], services: ['huvo11a'] }, async (cluster, isTrouble) => {
  const { history, record } = cluster
  for (let index = 1; index <= 6; index++) await cluster.addRunner({ id: `i-7f3a91c${index}`, rack: `r1-${index % 3}` })
  await cluster.startEntries()
  await sleep(2000)
  if (isTrouble) {
    const { workMs, tasks, runCount, intervalMs } = SCHEDULED
    const step = { count: tasks, cpu: 50, memMb: 32, estimateMs: workMs, checkpointing: true }
    const job = { specification: JSON.stringify({ workMs, saves: true }), steps: [step], runCount, firstRunMs: Date.now() + 1000, intervalMs }
    if (await cluster.submit(PREFIX + SCHEDULED_JOB, job) === null) throw new Error('the scheduled job was not accepted')
  }
  const accepted = []
  for (let index = 0; index < SMALL.count; index++) {
    const { workMs, tasks } = SMALL
    const job = { specification: JSON.stringify({ workMs }), steps: [{ count: tasks, cpu: 500, memMb: 256, estimateMs: workMs }] }
    if (await cluster.submit(PREFIX + buildId(index), job) !== null) accepted.push(buildId(index))
    await sleep(1000)
  }
  const lastStartAt = Math.max(...history.map(({ startedAt }) => startedAt))
  await sleep(FINISH_MS)
  const unfinished = []
  const states = []
  for (const id of accepted) {
    let state = 'no answer'
    for (let attempt = 0; attempt < MAX_GETS && state === 'no answer'; attempt++) {
      if (attempt > 0) await sleep(100)
      state = (await cluster.callEntry(cluster.entries[attempt % cluster.entries.length], 'GET', PREFIX + id))?.body?.state ?? 'no answer'
    }
    states.push(state)
    if (state !== 'completed') unfinished.push(id)
  }
  const running = history.filter(({ endedAt }) => endedAt === null).length
  const started = history.filter(({ task }) => unfinished.some((id) => task.startsWith(id))).length
  const idleMs = Math.round(performance.now() - Math.max(...history.map(({ startedAt, endedAt }) => Math.max(startedAt, endedAt ?? 0))))
  record(`small jobs accepted: ${accepted.length}; ${FINISH_MS / 1000} s after the last one: ${describe(states)}; runs of the unfinished ones: ${started}`)
  record(`runs of the scheduled job: ${history.filter(({ task }) => task.startsWith(SCHEDULED_JOB)).length}; tasks running now: ${running}; nothing has run for ${idleMs} ms`)
  record(`transactions that the store rejected: ${cluster.store.control.rejectedTransactions}; last start at ${Math.round(lastStartAt)} ms`)
  if (unfinished.length === 0 || running > 0 || idleMs < 3000) return null
  return `LOST: ${unfinished.length} of ${accepted.length} accepted jobs have nothing running ${FINISH_MS / 1000} s after the end of the traffic, while all runners have been idle for ${idleMs} ms`
})
