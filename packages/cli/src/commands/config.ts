/** Commands `apply`, `diff` and `config`, which work with the manifest. */
import { formatFault, formatManifestChange, type ManifestChange } from '@fuchsiatally/core'
import { EXIT_OK, failCommand, type Command, type CommandContext } from '../command.js'
import { EXIT_CODES, type ExitCode } from '../exitCodes.js'
import { checkFile, readManifestFile } from '../inputFile.js'

interface ApplyArguments {
  readonly manifest: string
  readonly wait: boolean
  readonly 'wait-seconds': number
  readonly 'expected-version'?: number | undefined
}

const POLL_INTERVAL_MS = 300
const MS_PER_S = 1000

export const apply: Command<ApplyArguments> = {
  usage: 'apply <manifest>',
  description: 'Apply a manifest; a concurrent change is reported as a conflict',
  examples: [
    ['$0 apply cell.toml --wait', 'return once it is in force at every live entry'],
    ['$0 apply cell.toml --expected-version 41', 'fail with exit code 15 (conflict) unless version 41 is in force']
  ],
  build: (argv) => argv
    .positional('manifest', { type: 'string', demandOption: true, describe: 'TOML file, or - for standard input' })
    .option('wait', { type: 'boolean', default: false, describe: 'wait until it is in force at every live entry' })
    .option('wait-seconds', { type: 'number', default: 30, describe: 'time limit of --wait, in seconds; then exit code 21 with the lagging entries' })
    .option('expected-version', { type: 'number', describe: 'version that the manifest is based on; default: the version in force' }),
  run: async (commandContext) => {
    const { args, output, operatorClient } = commandContext
    const manifest = readManifestFile(args.manifest)
    if (manifest.isErr()) return failCommand(output, manifest.error)
    const read = await operatorClient.readJson('POST', '/v1/config/diff', { manifest: manifest.value })
    if (read.isErr()) return failCommand(output, read.error)
    const changes = read.value.value['changes'] as readonly ManifestChange[]
    const expectedVersion = args['expected-version'] ?? Number(read.value.value['version'])
    const applied = await operatorClient.readJson('PUT', '/v1/config', { manifest: manifest.value, expectedVersion })
    if (applied.isErr()) return failCommand(output, applied.error)
    const version = Number(applied.value.value['version'])
    const warnings = applied.value.value['warnings'] as readonly string[]
    for (const warning of warnings) output.writeNote(`warning: ${warning}`)
    const exitCode = args.wait ? await waitUntilInForce(commandContext, version) : EXIT_OK
    if (exitCode !== EXIT_OK) return exitCode
    const text = [...changes.map(formatManifestChange), `version ${version} is ${args.wait ? 'in force at every live entry' : 'accepted'}`]
    output.writeResult({ version, changes, warnings, inForce: args.wait }, text.join('\n'))
    return EXIT_OK
  }
}

/** Waits until a version is in force at every live entry; fails with the lagging entries after `--wait-seconds`. */
async function waitUntilInForce (commandContext: CommandContext<ApplyArguments>, version: number): Promise<ExitCode> {
  const { args, output, operatorClient, cliContext } = commandContext
  let lagging = 'no entry responded'
  for (let waitedMs = 0; waitedMs <= args['wait-seconds'] * MS_PER_S; waitedMs += POLL_INTERVAL_MS) {
    const status = await operatorClient.readJson('GET', '/v1/config/status')
    if (status.isOk()) {
      const entries = status.value.value['entries'] as readonly { entry: string, version: number, live: boolean }[]
      const laggingEntries = entries.filter((entry) => entry.live && entry.version < version).map((entry) => `${entry.entry} (version ${entry.version})`)
      if (laggingEntries.length === 0) return EXIT_OK
      lagging = laggingEntries.join(', ')
    }
    await cliContext.wait(POLL_INTERVAL_MS)
  }
  return failCommand(output, { exitCode: EXIT_CODES.lagging, message: `version ${version} is accepted, but not in force after ${args['wait-seconds']} s at: ${lagging}` })
}

interface DiffArguments {
  readonly manifest: string
  readonly 'exit-code': boolean
}

export const diff: Command<DiffArguments> = {
  usage: 'diff <manifest>',
  description: 'Show what applying a manifest would change',
  examples: [['$0 diff cell.toml --exit-code', 'exit with 23 if there are differences']],
  build: (argv) => argv
    .positional('manifest', { type: 'string', demandOption: true, describe: 'TOML file, or - for standard input' })
    .option('exit-code', { type: 'boolean', default: false, describe: 'exit with 23 if there are differences' }),
  run: async ({ args, output, operatorClient }) => {
    const manifest = readManifestFile(args.manifest)
    if (manifest.isErr()) return failCommand(output, manifest.error)
    const read = await operatorClient.readJson('POST', '/v1/config/diff', { manifest: manifest.value })
    if (read.isErr()) return failCommand(output, read.error)
    const changes = read.value.value['changes'] as readonly ManifestChange[]
    const version = String(read.value.value['version'])
    const staleNote = read.value.value['fresh'] === true ? '' : ' (may be outdated: the entry cannot reach the platform)'
    const text = changes.length === 0 ? 'no differences' : changes.map(formatManifestChange).join('\n')
    output.writeResult(read.value.value, `${text}\nagainst version ${version}${staleNote}`)
    return args['exit-code'] && changes.length > 0 ? EXIT_CODES.differs : EXIT_OK
  }
}

export const config: Command<{ readonly action: 'check' | 'status', readonly files?: readonly string[] | undefined }> = {
  usage: 'config <action> [files..]',
  description: 'Validate files offline (check), or show the version in force at each entry (status)',
  examples: [
    ['$0 config check cell.toml entry.toml', 'list all faults in manifests, settings and jobs; exit code 78 if there are any'],
    ['$0 config status', 'version in force at each entry, and the lagging entries']
  ],
  build: (argv) => argv
    .positional('action', { choices: ['check', 'status'] as const, demandOption: true, describe: 'action to run' })
    .positional('files', { type: 'string', array: true, describe: 'files to check' }),
  run: async (commandContext) => commandContext.args.action === 'check' ? checkFiles(commandContext.args.files ?? [], commandContext) : await writeStatus(commandContext)
}

function checkFiles (files: readonly string[], { output }: Pick<CommandContext<object>, 'output'>): ExitCode {
  if (files.length === 0) return failCommand(output, { exitCode: EXIT_CODES.usage, message: 'no files given; name the files to check' })
  const results = files.map((file) => ({ file, ...checkFile(file) }))
  const lines = results.flatMap(({ file, kind, faults }) => faults.length === 0 ? [`${file}: ${kind} is valid`] : faults.map((fault) => formatFault(fault, file)))
  output.writeResult({ files: results }, lines.join('\n'))
  return results.every((result) => result.faults.length === 0) ? EXIT_OK : EXIT_CODES.badConfig
}

async function writeStatus ({ output, operatorClient }: Pick<CommandContext<object>, 'output' | 'operatorClient'>): Promise<ExitCode> {
  const read = await operatorClient.readJson('GET', '/v1/config/status')
  if (read.isErr()) return failCommand(output, read.error)
  const entries = read.value.value['entries'] as readonly { entry: string, failureDomain: string, version: number, live: boolean }[]
  const deniedKeyIds = read.value.value['deniedKeyIds'] as readonly string[]
  const lines = [`version ${String(read.value.value['version'])}`]
  for (const entry of entries) lines.push(`${entry.entry} (${entry.failureDomain}): ${entry.live ? `version ${entry.version}` : 'not live: unreachable or stopped'}`)
  if (deniedKeyIds.length > 0) lines.push(`revoked, not yet recorded in the table: ${deniedKeyIds.join(', ')}`)
  output.writeResult(read.value.value, lines.join('\n'))
  return EXIT_OK
}
