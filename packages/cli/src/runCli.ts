/** Parses the command line and runs the command. */
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

const EPILOGUE = `Keys are read from the environment only: FUCHSIATALLY_KEY (team) and FUCHSIATALLY_OPERATOR_KEY (operators).
Exit codes: docs/operators/exit-codes.md`

/** Runs a command line and returns its exit code; invalid input does not throw. */
export async function runCli (argv: readonly string[], cliContext: CliContext): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_CODES.ok
  const setExitCode = (code: ExitCode): void => { exitCode = code }
  const parser = yargs([...argv])
    .scriptName('fuchsiatally')
    .usage('$0 <command>')
    .option('entry', { type: 'string', default: cliContext.env['FUCHSIATALLY_ENTRY'] ?? DEFAULT_ENTRY, describe: 'address of an entry or of the load balancer; also set by FUCHSIATALLY_ENTRY' })
    .option('team', { type: 'string', describe: 'team to act for; only needed at an open queue without a key' })
    .option('timeout', { type: 'number', default: DEFAULT_TIMEOUT_S, describe: 'response timeout, in seconds' })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
  addCommand(parser, submit, cliContext, setExitCode)
  addCommand(parser, request, cliContext, setExitCode)
  addCommand(parser, status, cliContext, setExitCode)
  addCommand(parser, explain, cliContext, setExitCode)
  addCommand(parser, cancel, cliContext, setExitCode)
  addCommand(parser, apply, cliContext, setExitCode)
  addCommand(parser, diff, cliContext, setExitCode)
  addCommand(parser, config, cliContext, setExitCode)
  addCommand(parser, key, cliContext, setExitCode)
  addCommand(parser, team, cliContext, setExitCode)
  addCommand(parser, drain, cliContext, setExitCode)
  addCommand(parser, events, cliContext, setExitCode)
  addCommand(parser, trace, cliContext, setExitCode)
  parser.demandCommand(1, 'no command given').strict().recommendCommands().epilogue(EPILOGUE).version(false).wrap(null).exitProcess(false)
  parser.check((args) => findInvalidNumber(args) ?? true)
  parser.fail((message, error) => {
    if (error instanceof Error) throw error
    throw new UsageError(addSuggestion(String(message ?? error), parser))
  })
  try {
    await parser.parse([...argv], {}, (_error, _args, output) => { if (output !== '') cliContext.writeOut(`${output}\n`) })
  } catch (error) {
    // yargs throws errors named YError for invalid command lines.
    if (!(error instanceof UsageError) && !(error instanceof Error && error.name === 'YError')) throw error
    cliContext.writeErr(`fuchsiatally: ${error.message}\nsee fuchsiatally --help\n`)
    return EXIT_CODES.usage
  }
  return exitCode
}

/** Returns an error message for the first numeric option whose value is not a number. */
function findInvalidNumber (args: Readonly<Record<string, unknown>>): string | undefined {
  for (const [name, value] of Object.entries(args)) {
    if (Number.isNaN(value)) return `--${name} is not a number`
  }
  return undefined
}

/** Appends the most similar known option to the error message of an unknown one. */
function addSuggestion (message: string, yargsInstance: unknown): string {
  const unknown = /^Unknown arguments?: ([^, ]+)/.exec(message)?.[1]
  // `getOptions` exists at run time, but is missing from the types of yargs.
  const parser = yargsInstance as { getOptions?: () => { key: Readonly<Record<string, unknown>> } }
  if (unknown === undefined || parser.getOptions === undefined) return message
  const similar = findSimilarName(unknown, Object.keys(parser.getOptions().key))
  return similar === undefined ? message : `${message}; did you mean --${similar}?`
}

/** The command line is invalid. */
class UsageError extends Error {}
