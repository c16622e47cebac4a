/** Commands `status`, `explain` and `cancel`, which work with submitted jobs. */
import { EXIT_OK, failCommand, type Command } from '../command.js'
import { EXIT_CODES, type ExitCode } from '../exitCodes.js'
import { formatTable } from '../output.js'

interface JobView {
  readonly id: string
  readonly phase: string
  readonly spec: { readonly name: string, readonly kind: string, readonly priority: string, readonly taskCount: number }
  readonly tasks: readonly { readonly phase: string, readonly worker?: string, readonly attempt: number, readonly reason?: string }[]
}

interface Explanation {
  readonly summary: string
  readonly queuePosition?: number
  readonly tasks: readonly { readonly task: number, readonly phase: string, readonly worker?: string, readonly reason: string }[]
}

interface StatusArguments {
  readonly job?: string | undefined
  readonly wait: boolean
}

const POLL_INTERVAL_MS = 500
const MAX_SHOWN_TASKS = 50
/** Consecutive failures after which `status --wait` stops retrying. */
const MAX_CONSECUTIVE_FAILURES = 60
/** Failures that `status --wait` retries: another entry may respond, or the same one later. */
const TRANSIENT_FAILURES = new Set<ExitCode>([
  EXIT_CODES.unknown, EXIT_CODES.unreachable, EXIT_CODES.notReady, EXIT_CODES.platformUnavailable, EXIT_CODES.overLimit
])
const TERMINAL_PHASES = new Set(['completed', 'failed', 'cancelled'])

export const status: Command<StatusArguments> = {
  usage: 'status [job]',
  description: 'Show a job with its tasks, or all jobs of the team',
  examples: [
    ['$0 status', 'all jobs of the team'],
    ['$0 status covers:2026-02-18 --wait', 'wait until it ends; exit code 22 if it failed or was cancelled']
  ],
  build: (argv) => argv
    .positional('job', { type: 'string', describe: 'id of a job' })
    .option('wait', { type: 'boolean', default: false, describe: 'wait until the job has ended' }),
  run: async ({ args, output, teamClient, cliContext }) => {
    if (args.job === undefined) {
      const listed = await teamClient.readJson('GET', '/v1/jobs')
      if (listed.isErr()) return failCommand(output, listed.error)
      const jobs = listed.value.value['jobs'] as readonly JobView[]
      output.writeResult(listed.value.value, formatTable(['JOB', 'PHASE', 'KIND', 'TASKS'], jobs.map((job) => [job.id, job.phase, job.spec.kind, formatTaskCounts(job)])))
      return EXIT_OK
    }
    for (let failures = 0; ;) {
      const read = await teamClient.readJson('GET', `/v1/jobs/${encodeURIComponent(args.job)}`)
      failures = read.isOk() ? 0 : failures + 1
      if (read.isErr() && !(args.wait && failures < MAX_CONSECUTIVE_FAILURES && TRANSIENT_FAILURES.has(read.error.exitCode))) return failCommand(output, read.error)
      const job = read.isOk() ? read.value.value as unknown as JobView : undefined
      if (job !== undefined && (!args.wait || TERMINAL_PHASES.has(job.phase))) {
        output.writeResult(job, formatJob(job))
        return args.wait && job.phase !== 'completed' ? EXIT_CODES.jobFailed : EXIT_OK
      }
      await cliContext.wait(POLL_INTERVAL_MS)
    }
  }
}

export const explain: Command<{ readonly job: string }> = {
  usage: 'explain <job>',
  description: 'Explain why a job is waiting, or where its tasks run and why',
  examples: [['$0 explain covers:2026-02-18', 'one line per task, with the reason']],
  build: (argv) => argv.positional('job', { type: 'string', demandOption: true, describe: 'id of a job' }),
  run: async ({ args, output, teamClient }) => {
    const read = await teamClient.readJson('GET', `/v1/jobs/${encodeURIComponent(args.job)}/explanation`)
    if (read.isErr()) return failCommand(output, read.error)
    const explanation = read.value.value as unknown as Explanation
    const position = explanation.queuePosition === undefined ? '' : ` (position ${explanation.queuePosition} in the team's queue)`
    const rows = explanation.tasks.slice(0, MAX_SHOWN_TASKS).map((task) => [String(task.task), task.phase, task.worker ?? '-', task.reason])
    output.writeResult(explanation, `${explanation.summary}${position}\n${formatTable(['TASK', 'PHASE', 'WORKER', 'REASON'], rows)}`)
    return EXIT_OK
  }
}

export const cancel: Command<{ readonly jobs: readonly string[] }> = {
  usage: 'cancel <jobs..>',
  description: 'Cancel jobs and stop their running tasks',
  examples: [['$0 cancel covers:2026-02-18 covers:2026-02-19', 'exit with the first exit code that is not 0']],
  build: (argv) => argv.positional('jobs', { type: 'string', array: true, demandOption: true, describe: 'ids of jobs' }),
  run: async ({ args, output, teamClient }) => {
    let exitCode: ExitCode = EXIT_OK
    const cancelled: string[] = []
    for (const job of args.jobs) {
      const sent = await teamClient.readJson('DELETE', `/v1/jobs/${encodeURIComponent(job)}`)
      if (sent.isOk()) cancelled.push(job)
      else if (exitCode === EXIT_OK) exitCode = failCommand(output, sent.error)
      else failCommand(output, sent.error)
    }
    if (cancelled.length > 0) output.writeResult({ cancelled }, cancelled.map((job) => `cancelled ${job}`).join('\n'))
    return exitCode
  }
}

function formatTaskCounts (job: JobView): string {
  const counts = new Map<string, number>()
  for (const task of job.tasks) counts.set(task.phase, (counts.get(task.phase) ?? 0) + 1)
  if (counts.size === 0) return `${job.spec.taskCount} queued`
  return [...counts].map(([phase, count]) => `${count} ${phase}`).join(', ')
}

function formatJob (job: JobView): string {
  const rows = job.tasks.slice(0, MAX_SHOWN_TASKS).map((task, index) => [String(index), task.phase, String(task.attempt), task.worker ?? '-', task.reason ?? ''])
  const head = `${job.id}: ${job.phase}, ${job.spec.kind} of ${job.spec.taskCount}, ${formatTaskCounts(job)}`
  return rows.length === 0 ? head : `${head}\n${formatTable(['TASK', 'PHASE', 'ATTEMPT', 'WORKER', 'REASON'], rows)}`
}
