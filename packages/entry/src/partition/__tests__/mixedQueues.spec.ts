/** A queue with advice beside one without, whose starts wait for their turn at a holder that is short of processor time. */
import type { AdvicePolicy } from '@fuchsiatally/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster, createTestJob } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, startEntries } from '../../testing/partitionClusterSteps.js'

const WORKERS = 60
const ADVICE: AdvicePolicy = { decisionMs: 20, eachMs: 0.3, validityMs: 1500 }
const FLOOD_MS = 15_000
const URGENT_INTERVAL_MS = 500
const URGENT_TASKS = 2
/** Time within which urgent tasks start beside less urgent ones; a stated target, the deadline of callers. */
const MAX_START_MS = 3000
/** Share of the urgent tasks that may start later. */
const MAX_LATE_SHARE = 0.1

// Guards against LOST: starts without tickets had no bound, and left no room for those with tickets.
test('urgent tasks that need advice start in time beside a flood of less urgent ones that need none', async () => {
  const cluster = createPartitionCluster({
    advice: ADVICE,
    holderCosts: { planStepMs: 0.05, leaseMs: 1.2, startMs: 8 },
    planRun: () => ({ durationMs: 700, how: 'done' })
  })
  for (let worker = 0; worker < WORKERS; worker++) cluster.addWorker(`w${worker}`)
  const [entry] = await startEntries(cluster, ['a'])
  const { clock } = cluster
  const submittedAtMs = new Map<string, number>()
  const submit = (id: string, tasks: number, policy: Parameters<typeof createTestJob>[3]): void => {
    entry!.entry.jobs.submitJob(id, createTestJob(clock, tasks, { estimateMs: 700 }, policy), clock.nowMs() + 3000).catch((error: unknown) => { throw error })
  }
  const startMs = clock.nowMs()
  for (let count = 0; clock.nowMs() < startMs + FLOOD_MS; count++) {
    submit((0x1000 + count).toString(16).padStart(16, '0'), 30, { priority: 2, targetLatencyMs: 30_000 })
    if ((count * 150) % URGENT_INTERVAL_MS < 150) {
      const id = (0x8000 + count).toString(16).padStart(16, '0')
      submittedAtMs.set(id, clock.nowMs())
      submit(id, URGENT_TASKS, { advice: ADVICE, priority: 0, targetLatencyMs: 1000 })
    }
    await clock.runFor(150)
  }
  await clock.runFor(MAX_START_MS)
  let late = 0
  for (const [id, atMs] of submittedAtMs) {
    const inTime = cluster.started.filter((run) => run.job === id && run.startedAtMs <= atMs + MAX_START_MS).length
    late += Math.max(0, URGENT_TASKS - inTime)
  }
  const total = submittedAtMs.size * URGENT_TASKS
  assert.ok(late <= MAX_LATE_SHARE * total, `${late} of ${total} urgent tasks not started within ${MAX_START_MS} ms; ${cluster.started.length} runs started`)
  checkNoConcurrentRuns(cluster)
})

test.run()
