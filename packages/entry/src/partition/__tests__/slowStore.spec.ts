/** Starts with tickets while each commit is slow: the delay of the store is no queue of starts. */
import type { AdvicePolicy } from '@fuchsiatally/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPartitionCluster, createTestJob } from '../../testing/partitionCluster.js'
import { startEntries } from '../../testing/partitionClusterSteps.js'

const WORKERS = 60
const ADVICE: AdvicePolicy = { decisionMs: 20, eachMs: 0.3, validityMs: 1500 }
const JOBS = 20
const TASKS = 100
const RUN_MS = 700
/** Tasks that the workers run at a time. */
const SLOTS = WORKERS * 8
/** Commits between the end of a run and the next start in its place, a stated target: of the end, of the decision, and one that has just begun. */
const COMMITS_A_START = 3
/** Time for advice, orders and reports of each set of tasks, in milliseconds; a stated target. */
const OVERHEAD_MS = 300

for (const commitMs of [15, 360, 600]) {
  test(`a backlog that needs advice starts without delay while each commit takes ${commitMs} ms`, async () => {
    let transactionMs = 0
    const cluster = createPartitionCluster({ advice: ADVICE, readTransactionMs: () => transactionMs, planRun: () => ({ durationMs: RUN_MS, how: 'done' }) })
    for (let worker = 0; worker < WORKERS; worker++) cluster.addWorker(`w${worker}`)
    const [entry] = await startEntries(cluster, ['a'])
    const { clock } = cluster
    await clock.runFor(3000)
    for (let count = 0; count < JOBS; count++) {
      const id = (0x1000 + count).toString(16).padStart(16, '0')
      entry!.entry.jobs.submitJob(id, createTestJob(clock, TASKS, { estimateMs: RUN_MS }, { advice: ADVICE }), clock.nowMs() + 3000).catch((error: unknown) => { throw error })
    }
    await clock.runFor(30)
    transactionMs = commitMs
    await clock.runFor(Math.ceil(JOBS * TASKS / SLOTS) * (RUN_MS + COMMITS_A_START * commitMs + OVERHEAD_MS))
    const loads = entry!.events.listFields('FT859').map((fields) => `${String(fields.startCount)}/${String(fields.startWaitMaxMs)}`)
    assert.is(cluster.started.length, JOBS * TASKS, `starts and their longest wait by second: ${loads.join(' ')}`)
  })
}

test.run()
