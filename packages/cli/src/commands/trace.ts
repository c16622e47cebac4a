/** Command `trace`, which reconstructs the course of a job from the entries' logs. */
import { readFileSync } from 'node:fs'
import { EXIT_OK, type Command } from '../command.js'
import { EXIT_CODES } from '../exitCodes.js'
import { parseLog, type LogLine } from '../trace/logLines.js'
import { summarizeJob, type TracedLine } from '../trace/traceJob.js'

interface TraceArguments {
  readonly job: string
  readonly files: readonly string[]
}

const STANDARD_INPUT_FD = 0

function formatLine (line: TracedLine): string {
  const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
  return `${(line.sinceMs / 1000).toFixed(3).padStart(8)} s  ${line.source}  ${line.event} ${line.title}: ${fields.join(' ')}`
}

export const trace: Command<TraceArguments> = {
  usage: 'trace <job> [files..]',
  description: 'Reconstruct the course of a job from log files of entries, or from standard input',
  examples: [
    ['$0 trace 5c0e7a21d94b36f8 entry-1.log entry-2.log', 'log lines of the job in causal order, and its longest wait'],
    ['cat *.log | $0 trace 5c0e7a21d94b36f8 --json', 'the same as JSON']
  ],
  build: (argv) => argv
    .positional('job', { type: 'string', demandOption: true, describe: 'id of the job' })
    .positional('files', { type: 'string', array: true, default: [], describe: 'log files; default: standard input' }) as never,
  run: async ({ args, output, cliContext }) => {
    const lines: LogLine[] = []
    const inputs: readonly (string | number)[] = args.files.length === 0 ? [STANDARD_INPUT_FD] : args.files
    for (const file of inputs) {
      try {
        const parsed = parseLog(readFileSync(file, 'utf8'), String(file))
        lines.push(...parsed.lines)
        if (parsed.skippedLines > 0) cliContext.writeErr(`fuchsiatally: ${file}: ${parsed.skippedLines} lines are not log lines and were skipped\n`)
      } catch (error) {
        cliContext.writeErr(`fuchsiatally: cannot read ${file}: ${String(error)}; name a readable log file\n`)
        return EXIT_CODES.usage
      }
    }
    const traced = summarizeJob(args.job, lines)
    output.writeResult({ ...traced, lines: [...traced.lines] }, [...traced.lines.map(formatLine), `outcome: ${traced.outcome}`, `cause: ${traced.cause}`].join('\n'))
    return EXIT_OK
  }
}
