/** Advice tickets that expire while the starts of an overloaded holder wait. */
import type { AdvicePolicy } from '@fuchsiatally/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { HolderCosts } from '../../testing/chargedHolder.js'
import { createPartitionCluster, createTestJob, type ClusterEntry, type PartitionCluster } from '../../testing/partitionCluster.js'
import { checkNoConcurrentRuns, startEntries } from '../../testing/partitionClusterSteps.js'

const WORKERS = 60
const LASTING_JOB = '00000000000000ff'
const LASTING_TASKS = 10
const ADVICE: AdvicePolicy = { decisionMs: 20, eachMs: 0.3, validityMs: 1500 }
const LASTING_ADVICE: AdvicePolicy = { decisionMs: 560, eachMs: 8, validityMs: 1500 }
const OVERLOAD_MS = 20_000
const FAILURE_AT_MS = 12_000
/** Time that users allow for a lasting task to run again; a stated target. */
const MAX_RESTART_MS = 6000
/** Longest time without any start while workers have room; a stated target. */
const MAX_STANDSTILL_MS = 3000
/** Share of the starts whose ticket may expire before they reach their worker, ordered or not; a stated target. */
const MAX_EXPIRED_SHARE = 0.05

interface Overload {
  readonly costs: HolderCosts
  readonly tasks: number
  readonly intervalMs: number
}

/** The rounds of the planner take most of the holder's time. */
const PLANNING: Overload = { costs: { planStepMs: 0.4, leaseMs: 1.2, startMs: 3 }, tasks: 8, intervalMs: 20 }
/** A round with several hundred waiting steps and the pause after it outlast a ticket. */
const LONG_ROUNDS: Overload = { ...PLANNING, costs: { ...PLANNING.costs, planStepMs: 1 } }
/** The start orders do. */
const ORDERING: Overload = { costs: { planStepMs: 0.05, leaseMs: 1.2, startMs: 8 }, tasks: 30, intervalMs: 150 }

interface Outcome {
  readonly cluster: PartitionCluster
  readonly entry: ClusterEntry
  readonly startMs: number
  /** End of a lasting run, in milliseconds. */
  readonly failedAtMs: number
}

/** Submits urgent tasks faster than the holder can order them, and ends a lasting run meanwhile. */
async function playOverload ({ costs, tasks, intervalMs }: Overload): Promise<Outcome> {
  const cluster = createPartitionCluster({
    advice: ADVICE,
    holderCosts: costs,
    planRun: (order) => ({ durationMs: order.job === LASTING_JOB ? 600_000 : 700, how: 'done' })
  })
  for (let worker = 0; worker < WORKERS; worker++) cluster.addWorker(`w${worker}`)
  const [entry] = await startEntries(cluster, ['a'])
  const { clock } = cluster
  const { jobs } = entry!.entry
  const lasting = jobs.submitJob(LASTING_JOB, createTestJob(clock, LASTING_TASKS, { longRunning: true, maxPerWorker: 1 }, { advice: LASTING_ADVICE, priority: 1 }), clock.nowMs() + 3000)
  await clock.runFor(5000)
  assert.is(await lasting, 'done')
  assert.is(cluster.started.length, LASTING_TASKS)
  const startMs = clock.nowMs()
  let failedAtMs = Infinity
  let count = 0
  for (let dueMs = startMs; dueMs < startMs + OVERLOAD_MS; dueMs += intervalMs) {
    if (dueMs > clock.nowMs()) await clock.runFor(dueMs - clock.nowMs())
    count++
    const id = (0x1000 + count).toString(16).padStart(16, '0')
    jobs.submitJob(id, createTestJob(clock, tasks, { estimateMs: 700 }, { advice: ADVICE }), dueMs + 3000).catch((error: unknown) => { throw error })
    if (failedAtMs < Infinity || dueMs < startMs + FAILURE_AT_MS) continue
    failedAtMs = clock.nowMs()
    cluster.workers.get(cluster.started[0]!.worker)!.restart()
  }
  return { cluster, entry: entry!, startMs, failedAtMs }
}

/** Longest time without a start since `startMs`, in milliseconds. */
function computeStandstillMs ({ cluster, startMs }: Outcome): number {
  let longestMs = 0
  let previousMs = startMs
  for (const nextMs of [...cluster.started.map((run) => run.startedAtMs).filter((atMs) => atMs > startMs), cluster.clock.nowMs()]) {
    longestMs = Math.max(longestMs, nextMs - previousMs)
    previousMs = nextMs
  }
  return longestMs
}

for (const [name, overload] of [['planning', PLANNING], ['long planning rounds', LONG_ROUNDS], ['start orders', ORDERING]] as const) {
  // Guards against LOST: tickets expired between rounds or in the queue of starts, and no task started although the workers had room.
  test(`starts go on while ${name} overload the holder`, async () => {
    const outcome = await playOverload(overload)
    const standstillMs = computeStandstillMs(outcome)
    assert.ok(standstillMs <= MAX_STANDSTILL_MS, `no start for ${standstillMs} ms`)
    checkNoConcurrentRuns(outcome.cluster)
  })

  // Guards against LOST: each order was refused, and the refused tasks fed the backlog.
  test(`few starts outlast their ticket while ${name} overload the holder`, async () => {
    const { entry, cluster } = await playOverload(overload)
    const loads = entry.events.listFields('FT859')
    const sum = (field: string): number => loads.reduce((total, fields) => total + Number(fields[field]), 0)
    const notOrdered = sum('expiredStarts')
    const decided = sum('startCount') + notOrdered
    const expired = sum('ticketRefusals') + notOrdered
    assert.ok(expired <= MAX_EXPIRED_SHARE * decided, `${expired} of ${decided} starts outlasted their ticket; ${cluster.started.length} runs started`)
  })

  // Guards against LOST: a lasting task whose run had ended was not started again.
  test(`a lasting task that needs advice runs again in time while ${name} overload the holder`, async () => {
    const { cluster, failedAtMs } = await playOverload(overload)
    const restarted = cluster.started.filter((run) => run.job === LASTING_JOB && run.startedAtMs >= failedAtMs)
    assert.ok(restarted.length >= 1, 'not started again')
    const delayMs = restarted[0]!.startedAtMs - failedAtMs
    assert.ok(delayMs <= MAX_RESTART_MS, `started again after ${delayMs} ms`)
  })
}

test.run()
