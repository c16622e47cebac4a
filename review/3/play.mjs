/** Two members of a gang fail in the same run: the run counts twice against `maxAttempts`, and the job is given up too early. */
import { runCase } from '../standins/cluster.mjs'
import { sleep, waitUntil } from '../standins/http.mjs'

const PREFIX = '/pule252/'
const JOB = '5c0e7a21d94b36f8'
const RUNNERS = 24
const GREY_RUNNERS = 2
const GREY_MS = 6500
const MAX_ATTEMPTS = 2
const WORK_MS = 2000

const ROUTE = { name: 'r-mh2rryt', prefix: PREFIX, service: 'wuno96b', maxAttempts: MAX_ATTEMPTS, stretch: 2.2 }
await runCase({ caseUrl: import.meta.url, routes: [ROUTE], services: ['wuno96b'] }, async (cluster, isTrouble) => {
  const { history, record, runners } = cluster
  for (let index = 0; index < RUNNERS; index++) {
    await cluster.addRunner({ id: `i-7f3a91${String(index).padStart(2, '0')}`, rack: `r1-${index % 6}`, capacity: { cpu: 64000, memMb: 131072, gpu: 8 } })
  }
  await cluster.startEntries()
  await sleep(3000)
  if (isTrouble) {
    for (const runner of runners.slice(0, GREY_RUNNERS)) {
      runner.setGrey(true)
      record(`${runner.id} fails all that it starts from now on`)
    }
    setTimeout(() => {
      for (const runner of runners) runner.setGrey(false)
      record('all runners are sound again')
    }, GREY_MS).unref()
  }
  const job = { specification: JSON.stringify({ workMs: WORK_MS, gang: RUNNERS }), steps: [{ count: RUNNERS, cpu: 31000, memMb: 81000, gpu: 8, estimateMs: WORK_MS, gang: true }] }
  if (await cluster.submit(PREFIX + JOB, job) === null) throw new Error('the job was not accepted')
  let state = ''
  await waitUntil(async () => {
    state = (await cluster.callEntry(cluster.entries[1], 'GET', PREFIX + JOB))?.body?.state ?? ''
    return state === 'completed' || state === 'failed'
  }, 40_000, 500)
  const failedRuns = new Set(history.filter(({ how }) => how === 'failed').map(({ run }) => run))
  const failedEnds = history.filter(({ how }) => how === 'failed')
  record(`job: ${state}; runs of the gang that failed: ${failedRuns.size}; ends failed: ${failedEnds.map(({ task, run }) => `${task} run ${run}`).join(', ')}`)
  if (state !== 'failed' || failedRuns.size >= MAX_ATTEMPTS) return null
  return `LOST: the job is shown as failed after ${failedRuns.size} run(s) of its gang, but maxAttempts is ${MAX_ATTEMPTS}`
})
