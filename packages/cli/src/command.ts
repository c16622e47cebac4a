/** Definition of a command and the context it runs in. */
import type { Argv } from 'yargs'
import { createEntryClient, type EntryClient } from './entryClient.js'
import { EXIT_CODES, type ExitCode } from './exitCodes.js'
import { createOutput, type CliStreams, type Output } from './output.js'

/** Options common to all commands. */
export interface CommonArguments {
  readonly entry: string
  readonly json: boolean
  readonly timeout: number
  readonly team?: string | undefined
}

/** Environment, streams and timer of an invocation; tests substitute their own. */
export interface CliContext extends CliStreams {
  readonly env: Readonly<Record<string, string | undefined>>
  readonly wait: (ms: number) => Promise<void>
}

/** Parsed arguments, output and clients passed to a command. */
export interface CommandContext<A> {
  readonly args: A & CommonArguments
  readonly output: Output
  readonly cliContext: CliContext
  /** Client that authenticates with the team key in FUCHSIATALLY_KEY. */
  readonly teamClient: EntryClient
  /** Client that authenticates with the operator key in FUCHSIATALLY_OPERATOR_KEY. */
  readonly operatorClient: EntryClient
}

/** A command; `examples` are shown by its `--help`. */
export interface Command<A = object> {
  /** Name and positional arguments, such as `cancel <jobs..>`. */
  readonly usage: string
  readonly description: string
  readonly examples: readonly (readonly [string, string])[]
  readonly build?: (argv: Argv) => Argv<A>
  readonly run: (commandContext: CommandContext<A>) => Promise<ExitCode>
}

const MS_PER_S = 1000

/** Registers a command; `setExitCode` receives its exit code. */
export function addCommand<A> (argv: Argv, command: Command<A>, cliContext: CliContext, setExitCode: (code: ExitCode) => void): Argv {
  const build = (builder: Argv): Argv => {
    const built = command.build?.(builder) ?? builder
    for (const [line, description] of command.examples) built.example(line, description)
    return built as Argv
  }
  return argv.command(command.usage, command.description, build, async (parsed) => {
    const args = parsed as unknown as A & CommonArguments
    const clientOptions = { address: args.entry, timeoutMs: args.timeout * MS_PER_S, ...(args.team === undefined ? {} : { team: args.team }) }
    const output = createOutput(cliContext, args.json)
    const teamClient = createEntryClient({ ...clientOptions, ...pickKey(cliContext.env['FUCHSIATALLY_KEY']) })
    const operatorClient = createEntryClient({ ...clientOptions, ...pickKey(cliContext.env['FUCHSIATALLY_OPERATOR_KEY']) })
    setExitCode(await command.run({ args, output, cliContext, teamClient, operatorClient }))
  })
}

function pickKey (key: string | undefined): { key?: string } {
  return key === undefined || key === '' ? {} : { key }
}

/** Writes a failure to the output and returns its exit code. */
export function failCommand (output: Output, failure: Parameters<Output['writeFailure']>[0]): ExitCode {
  output.writeFailure(failure)
  return failure.exitCode
}

export const EXIT_OK = EXIT_CODES.ok
