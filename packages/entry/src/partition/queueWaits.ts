/** Estimates by queue how long a job that is accepted now waits for its first start: the waiting jobs divided by the rate of starts. */
import { computeStartSlackMs, type Clock, type JobPhase, type StepJob } from '@fuchsiatally/core'
import { MAX_QUEUE_WAIT_MS, START_RATE_WINDOW_MS } from './constants.js'

export interface QueueWaitsOptions {
  readonly clock: Clock
  readonly readPhase: (job: string) => JobPhase | null
}

/** Jobs of one queue that wait for their first start. */
export interface QueueWait {
  readonly queue: string
  readonly priority: number
  readonly waiting: number
  /** Age of the job that has waited longest, in milliseconds. */
  readonly oldestMs: number
  /** Estimated wait of a job that is accepted now, in milliseconds. */
  readonly waitMs: number
  /** Average time for which the waiting jobs can wait and still meet their objective, in milliseconds. */
  readonly slackMs: number
}

/** Tracker of one term. */
export interface QueueWaits {
  addJob: (id: string, spec: StepJob) => void
  /** Notes the jobs that have started since the last call and returns the state of each queue with waiting jobs. */
  update: () => QueueWait[]
}

interface WaitingJob {
  readonly queue: string
  readonly priority: number
  readonly addedAtMs: number
  readonly slackMs: number
}

interface RecentStart {
  readonly queue: string
  readonly atMs: number
}

export function createQueueWaits (options: QueueWaitsOptions): QueueWaits {
  const { clock } = options
  const waiting = new Map<string, WaitingJob>()
  let recentStarts: RecentStart[] = []

  const dropStarted = (nowMs: number): void => {
    recentStarts = recentStarts.filter(({ atMs }) => nowMs - atMs < START_RATE_WINDOW_MS)
    for (const [id, { queue }] of waiting) {
      const phase = options.readPhase(id)
      if (phase === 'queued') continue
      waiting.delete(id)
      if (phase === 'running' || phase === 'completed') recentStarts.push({ queue, atMs: nowMs })
    }
  }

  const summarizeQueue = (queue: string, jobs: readonly WaitingJob[], nowMs: number): QueueWait => {
    const startsPerMs = recentStarts.filter((start) => start.queue === queue).length / START_RATE_WINDOW_MS
    const oldestMs = Math.max(...jobs.map(({ addedAtMs }) => nowMs - addedAtMs))
    return {
      queue,
      priority: Math.min(...jobs.map(({ priority }) => priority)),
      waiting: jobs.length,
      oldestMs,
      waitMs: Math.min(MAX_QUEUE_WAIT_MS, startsPerMs > 0 ? jobs.length / startsPerMs : oldestMs),
      slackMs: jobs.reduce((sum, { slackMs }) => sum + slackMs, 0) / jobs.length
    }
  }

  return {
    addJob: (id, spec) => {
      if (spec.runCount > 0) return
      waiting.set(id, { queue: spec.policy.queue, priority: spec.policy.priority, addedAtMs: clock.nowMs(), slackMs: computeStartSlackMs(spec) })
    },
    update: () => {
      const nowMs = clock.nowMs()
      dropStarted(nowMs)
      const queues = new Map<string, WaitingJob[]>()
      for (const job of waiting.values()) {
        const jobs = queues.get(job.queue)
        if (jobs === undefined) queues.set(job.queue, [job])
        else jobs.push(job)
      }
      return [...queues].map(([queue, jobs]) => summarizeQueue(queue, jobs, nowMs))
    }
  }
}
