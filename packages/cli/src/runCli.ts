/** The command line `fuchsiatally`. */
import { findSimilarName } from '@fuchsiatally/core'
import yargs from 'yargs'
import { addCommand, type CliContext } from './command.js'
import { apply, config, diff } from './commands/config.js'
import { cancel, explain, status } from './commands/jobs.js'
import { drain, events, key, team } from './commands/operators.js'
import { request } from './commands/request.js'
import { submit } from './commands/submit.js'
import { trace } from './commands/trace.js'
import { EXIT_CODES, type ExitCode } from './exitCodes.js'

const DEFAULT_ENTRY = '127.0.0.1:7070'
const DEFAULT_TIMEOUT_S = 30

const EPILOGUE = `Keys come from the environment only: FUCHSIATALLY_KEY (team) and FUCHSIATALLY_OPERATOR_KEY (operators).
Exit codes: docs/operators/exit-codes.md`

/** Runs one command line; returns its exit code and never throws for wrong input. */
export async function runCli (argv: readonly string[], context: CliContext): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_CODES.ok
  const finish = (code: ExitCode): void => { exitCode = code }
  const base = yargs([...argv])
    .scriptName('fuchsiatally')
    .usage('$0 <command>')
    .option('entry', { type: 'string', default: context.env['FUCHSIATALLY_ENTRY'] ?? DEFAULT_ENTRY, describe: 'address of an entry or of the balancer; or FUCHSIATALLY_ENTRY' })
    .option('team', { type: 'string', describe: 'team to act for; needed only for an open queue, without a key' })
    .option('timeout', { type: 'number', default: DEFAULT_TIMEOUT_S, describe: 'longest wait for an answer, in seconds' })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
  addCommand(base, submit, context, finish)
  addCommand(base, request, context, finish)
  addCommand(base, status, context, finish)
  addCommand(base, explain, context, finish)
  addCommand(base, cancel, context, finish)
  addCommand(base, apply, context, finish)
  addCommand(base, diff, context, finish)
  addCommand(base, config, context, finish)
  addCommand(base, key, context, finish)
  addCommand(base, team, context, finish)
  addCommand(base, drain, context, finish)
  addCommand(base, events, context, finish)
  addCommand(base, trace, context, finish)
  base.demandCommand(1, 'name a command').strict().recommendCommands().epilogue(EPILOGUE).version(false).wrap(null).exitProcess(false)
  base.check((args) => findWrongNumber(args) ?? true)
  base.fail((message, error) => {
    if (error instanceof Error) throw error
    throw new UsageError(addSuggestion(String(message ?? error), base))
  })
  try {
    await base.parse([...argv], {}, (_error, _args, output) => { if (output !== '') context.writeOut(`${output}\n`) })
  } catch (error) {
    // yargs reports wrong command lines by errors of its own name.
    if (!(error instanceof UsageError) && !(error instanceof Error && error.name === 'YError')) throw error
    context.writeErr(`fuchsiatally: ${error.message}\nsee fuchsiatally --help\n`)
    return EXIT_CODES.usage
  }
  return exitCode
}

/** Names an option whose value is not a number, though it has to be. */
function findWrongNumber (args: Readonly<Record<string, unknown>>): string | undefined {
  for (const [name, value] of Object.entries(args)) {
    if (Number.isNaN(value)) return `--${name} is not a number`
  }
  return undefined
}

/** Adds what an unknown option was most likely meant to be. */
function addSuggestion (message: string, base: unknown): string {
  const unknown = /^Unknown arguments?: ([^, ]+)/.exec(message)?.[1]
  // yargs offers its options, but its types leave the method out.
  const parser = base as { getOptions?: () => { key: Readonly<Record<string, unknown>> } }
  if (unknown === undefined || parser.getOptions === undefined) return message
  const similar = findSimilarName(unknown, Object.keys(parser.getOptions().key))
  return similar === undefined ? message : `${message}; did you mean --${similar}?`
}

/** A wrong command line. */
class UsageError extends Error {}
