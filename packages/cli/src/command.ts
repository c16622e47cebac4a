/** Shape of a command, and what every command gets. */
import type { Argv } from 'yargs'
import { createEntryClient, type EntryClient } from './entryClient.js'
import { EXIT_CODES, type ExitCode } from './exitCodes.js'
import { createOutput, type CliStreams, type Output } from './output.js'

/** Options that every command has. */
export interface CommonArguments {
  readonly entry: string
  readonly json: boolean
  readonly timeout: number
  readonly team?: string | undefined
}

/** Everything around a run: environment and streams, replaced in tests. */
export interface CliContext extends CliStreams {
  readonly env: Readonly<Record<string, string | undefined>>
  readonly wait: (ms: number) => Promise<void>
}

/** What a command's run gets. */
export interface CommandRun<A> {
  readonly args: A & CommonArguments
  readonly output: Output
  readonly context: CliContext
  /** Client with the team's key of FUCHSIATALLY_KEY. */
  readonly caller: EntryClient
  /** Client with the operators' key of FUCHSIATALLY_OPERATOR_KEY. */
  readonly operator: EntryClient
}

/** One command; `examples` stand on its `--help`. */
export interface Command<A = object> {
  /** Name and positional arguments, as `cancel <jobs..>`. */
  readonly usage: string
  readonly description: string
  readonly examples: readonly (readonly [string, string])[]
  readonly build?: (argv: Argv) => Argv<A>
  readonly run: (run: CommandRun<A>) => Promise<ExitCode>
}

const SECONDS_MS = 1000

/** Adds a command to the command line; `finish` takes its exit code. */
export function addCommand<A> (argv: Argv, command: Command<A>, context: CliContext, finish: (code: ExitCode) => void): Argv {
  const build = (builder: Argv): Argv => {
    const built = command.build?.(builder) ?? builder
    for (const [line, description] of command.examples) built.example(line, description)
    return built as Argv
  }
  return argv.command(command.usage, command.description, build, async (parsed) => {
    const args = parsed as unknown as A & CommonArguments
    const common = { address: args.entry, timeoutMs: args.timeout * SECONDS_MS, ...(args.team === undefined ? {} : { team: args.team }) }
    const output = createOutput(context, args.json)
    const caller = createEntryClient({ ...common, ...pickKey(context.env['FUCHSIATALLY_KEY']) })
    const operator = createEntryClient({ ...common, ...pickKey(context.env['FUCHSIATALLY_OPERATOR_KEY']) })
    finish(await command.run({ args, output, context, caller, operator }))
  })
}

function pickKey (key: string | undefined): { key?: string } {
  return key === undefined || key === '' ? {} : { key }
}

/** Prints a failure and returns its exit code. */
export function stopWith (output: Output, failure: Parameters<Output['writeFailure']>[0]): ExitCode {
  output.writeFailure(failure)
  return failure.exitCode
}

export const EXIT_OK = EXIT_CODES.ok
