/** Two jobs of one tenant, at the queues of two services, wait for each other's share of the tenant's cap for good. */
import { buildRoute, CONTACT_MS, createId, EXIT_BROKEN, EXIT_HELD, isCalm, runCase } from '../cluster-2.mjs'
import { wait } from '../http-2.mjs'

const KEY = 'key-of-tenant'
const CAP_CPU = 20_000
/** Each fits the cap, and its service has room for it more than twice over; both together do not fit the cap. */
const SEARCH_CPU = 10_000
const SCORE_CPU = 15_000
const TASK_MS = 2000
/** Small jobs of one core, of which the tenant sends more than fit its cap, to both queues at the same rate. */
const SMALL_JOBS = 60
const SMALL_INTERVAL_MS = 50
const MIN_SMALL_MS = 400
const MAX_SMALL_MS = 1200
/** Jobs are asked for this long after the end of the traffic; then one may have nothing running for less than 3 s. */
const FINISH_MS = 14_000
const IDLE_MS = 3000
const CHECK_MS = 20_000

const SERVICES = [
  { service: 'matcher', count: 6, capacity: { cpu: 16_000, memMb: 65_536, gpu: 0 } },
  { service: 'video-judge', count: 3, capacity: { cpu: 64_000, memMb: 131_072, gpu: 8 } }
]
const options = {
  folder: import.meta.dirname,
  entries: 3,
  runners: SERVICES.flatMap(({ service, count, capacity }) => Array.from({ length: count }, (_, index) => ({ id: `${service}-${index}`, service, capacity }))),
  routes: [buildRoute({ name: 'search', service: 'matcher' }), buildRoute({ name: 'score', service: 'video-judge', priority: 1 })],
  tenants: [{ name: 'studio', apiKeys: [KEY], weight: 10, cap: { cpu: CAP_CPU, memMb: 0, gpu: 0 } }]
}

await runCase(options, async (cluster) => {
  const { entries, lines, note, readMs, runners, send, listStarts } = cluster
  await wait(CONTACT_MS)
  const submit = async (entry, queue, cpu, ms) => {
    const id = createId()
    const body = { specification: `{"ms":${ms}}`, steps: [{ count: 1, cpu, memMb: 1024, estimateMs: ms }] }
    const answer = await send(entry, 'POST', `/${queue}/${id}`, { key: KEY, body })
    if (answer?.status !== 200) throw new Error('a job was not accepted')
    return { id, queue }
  }
  const isDone = (id) => lines.some(({ kind, task, how }) => kind === 'end' && how === 'done' && task.startsWith(`${id}.`))
  const submitOne = async (entry, queue, cpu) => {
    const job = await submit(entry, queue, cpu, TASK_MS)
    // Without the disruption, large jobs come one after the other.
    while (isCalm() && !isDone(job.id)) await wait(50)
    return job
  }
  const submitSmall = async (entry, queue) => {
    const calls = []
    for (let index = 0; index < SMALL_JOBS; index++) {
      calls.push(submit(entry, queue, 1000, MIN_SMALL_MS + Math.floor(Math.random() * (MAX_SMALL_MS - MIN_SMALL_MS))))
      await wait(SMALL_INTERVAL_MS)
    }
    return await Promise.all(calls)
  }
  const small = Promise.all([submitSmall(entries[0], 'search'), submitSmall(entries[1], 'score')])
  await wait(SMALL_JOBS * SMALL_INTERVAL_MS / 2)
  const jobs = await Promise.all(isCalm()
    ? [await submitOne(entries[0], 'search', SEARCH_CPU), await submitOne(entries[1], 'score', SCORE_CPU)]
    : [submitOne(entries[0], 'search', SEARCH_CPU), submitOne(entries[1], 'score', SCORE_CPU)])

  await wait(FINISH_MS)
  if ((await small).flat().some(({ id }) => !isDone(id))) throw new Error('the small jobs are not done')
  const idleSinceMs = new Map()
  const broken = new Set()
  const untilMs = readMs() + CHECK_MS
  while (readMs() < untilMs) {
    const running = runners.flatMap((runner) => runner.listRuns())
    for (const { id } of jobs) {
      // Nothing else runs: all of the cap and of the services' capacity is free.
      const isIdle = !isDone(id) && running.length === 0
      if (!isIdle) idleSinceMs.delete(id)
      else if (!idleSinceMs.has(id)) idleSinceMs.set(id, readMs())
      else if (readMs() - idleSinceMs.get(id) > IDLE_MS) broken.add(id)
    }
    await wait(20)
  }
  for (const { id, queue } of jobs) {
    const answer = await send(entries[2], 'GET', `/${queue}/${id}`, { key: KEY })
    note('job', { id, queue, starts: listStarts(id).length, state: answer?.body?.state ?? answer?.status, isBroken: broken.has(id) })
  }
  note('claims', { row: cluster.store.readRow('cell', '', '!claims') })
  note('result', { idleForMoreThanIdleMs: broken.size })
  return broken.size > 0 ? EXIT_BROKEN : EXIT_HELD
})
