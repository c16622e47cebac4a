/** `apply`, `diff` and `config check`: the manifest. */
import { formatFault, formatManifestChange, type ManifestChange } from '@fuchsiatally/core'
import { EXIT_OK, stopWith, type Command, type CommandRun } from '../command.js'
import { EXIT_CODES, type ExitCode } from '../exitCodes.js'
import { checkFile, readManifestFile } from '../inputFile.js'

interface ApplyArguments {
  readonly manifest: string
  readonly wait: boolean
  readonly 'wait-seconds': number
  readonly 'expected-version'?: number | undefined
}

const POLL_MS = 300
const SECOND_MS = 1000

export const apply: Command<ApplyArguments> = {
  usage: 'apply <manifest>',
  description: 'Put a manifest in force; a racing change is a conflict',
  examples: [
    ['$0 apply cell.toml --wait', 'return when every live entry has it in force'],
    ['$0 apply cell.toml --expected-version 41', 'for pipelines: conflict (15) unless version 41 is in force']
  ],
  build: (argv) => argv
    .positional('manifest', { type: 'string', demandOption: true, describe: 'TOML file, or - for standard input' })
    .option('wait', { type: 'boolean', default: false, describe: 'wait until it is in force at every live entry' })
    .option('wait-seconds', { type: 'number', default: 30, describe: 'longest wait; then exit code 21 names who lags' })
    .option('expected-version', { type: 'number', describe: 'version that the manifest was made against; the one in force where absent' }),
  run: async (run) => {
    const { args, output, operator } = run
    const manifest = readManifestFile(args.manifest)
    if (manifest.isErr()) return stopWith(output, manifest.error)
    const read = await operator.readJson('POST', '/v1/config/diff', { manifest: manifest.value })
    if (read.isErr()) return stopWith(output, read.error)
    const changes = read.value.value['changes'] as readonly ManifestChange[]
    const expectedVersion = args['expected-version'] ?? Number(read.value.value['version'])
    const applied = await operator.readJson('PUT', '/v1/config', { manifest: manifest.value, expectedVersion })
    if (applied.isErr()) return stopWith(output, applied.error)
    const version = Number(applied.value.value['version'])
    const warnings = applied.value.value['warnings'] as readonly string[]
    for (const warning of warnings) output.writeNote(`warning: ${warning}`)
    const exitCode = args.wait ? await waitInForce(run, version) : EXIT_OK
    if (exitCode !== EXIT_OK) return exitCode
    const text = [...changes.map(formatManifestChange), `version ${version} is ${args.wait ? 'in force at every live entry' : 'accepted'}`]
    output.writeResult({ version, changes, warnings, inForce: args.wait }, text.join('\n'))
    return EXIT_OK
  }
}

/** Waits until every live entry has a version in force, and names who lags otherwise. */
async function waitInForce (run: CommandRun<ApplyArguments>, version: number): Promise<ExitCode> {
  const { args, output, operator, context } = run
  let lagging = 'no entry answered'
  for (let waitedMs = 0; waitedMs <= args['wait-seconds'] * SECOND_MS; waitedMs += POLL_MS) {
    const status = await operator.readJson('GET', '/v1/config/status')
    if (status.isOk()) {
      const entries = status.value.value['entries'] as readonly { entry: string, version: number, live: boolean }[]
      const behind = entries.filter((entry) => entry.live && entry.version < version).map((entry) => `${entry.entry} (version ${entry.version})`)
      if (behind.length === 0) return EXIT_OK
      lagging = behind.join(', ')
    }
    await context.wait(POLL_MS)
  }
  return stopWith(output, { exitCode: EXIT_CODES.lagging, message: `version ${version} is accepted, but not in force after ${args['wait-seconds']} s at: ${lagging}` })
}

interface DiffArguments {
  readonly manifest: string
  readonly 'exit-code': boolean
}

export const diff: Command<DiffArguments> = {
  usage: 'diff <manifest>',
  description: 'Show what applying a manifest would change',
  examples: [['$0 diff cell.toml --exit-code', 'exit code 23 if there are differences']],
  build: (argv) => argv
    .positional('manifest', { type: 'string', demandOption: true, describe: 'TOML file, or - for standard input' })
    .option('exit-code', { type: 'boolean', default: false, describe: 'exit with 23 if there are differences' }),
  run: async ({ args, output, operator }) => {
    const manifest = readManifestFile(args.manifest)
    if (manifest.isErr()) return stopWith(output, manifest.error)
    const read = await operator.readJson('POST', '/v1/config/diff', { manifest: manifest.value })
    if (read.isErr()) return stopWith(output, read.error)
    const changes = read.value.value['changes'] as readonly ManifestChange[]
    const version = String(read.value.value['version'])
    const stale = read.value.value['fresh'] === true ? '' : ' (may be outdated: the entry cannot reach the platform)'
    const text = changes.length === 0 ? 'no differences' : changes.map(formatManifestChange).join('\n')
    output.writeResult(read.value.value, `${text}\nagainst version ${version}${stale}`)
    return args['exit-code'] && changes.length > 0 ? EXIT_CODES.differs : EXIT_OK
  }
}

export const config: Command<{ readonly action: 'check' | 'status', readonly files?: readonly string[] | undefined }> = {
  usage: 'config <action> [files..]',
  description: 'Check files without an entry (check), or show who has which version in force (status)',
  examples: [
    ['$0 config check cell.toml entry.toml', 'name every fault of manifests, settings and jobs; exit code 78 if any'],
    ['$0 config status', 'version in force at every entry, and who lags']
  ],
  build: (argv) => argv
    .positional('action', { choices: ['check', 'status'] as const, demandOption: true, describe: 'what to do' })
    .positional('files', { type: 'string', array: true, describe: 'files to check' }),
  run: async (run) => run.args.action === 'check' ? checkFiles(run.args.files ?? [], run) : await writeStatus(run)
}

function checkFiles (files: readonly string[], { output }: Pick<CommandRun<object>, 'output'>): ExitCode {
  if (files.length === 0) return stopWith(output, { exitCode: EXIT_CODES.usage, message: 'no file named; give the files to check' })
  const results = files.map((file) => ({ file, ...checkFile(file) }))
  const lines = results.flatMap(({ file, kind, faults }) => faults.length === 0 ? [`${file}: ${kind} without fault`] : faults.map((fault) => formatFault(fault, file)))
  output.writeResult({ files: results }, lines.join('\n'))
  return results.every((result) => result.faults.length === 0) ? EXIT_OK : EXIT_CODES.badConfig
}

async function writeStatus ({ output, operator }: Pick<CommandRun<object>, 'output' | 'operator'>): Promise<ExitCode> {
  const read = await operator.readJson('GET', '/v1/config/status')
  if (read.isErr()) return stopWith(output, read.error)
  const entries = read.value.value['entries'] as readonly { entry: string, failureDomain: string, version: number, live: boolean }[]
  const denied = read.value.value['deniedKeyIds'] as readonly string[]
  const lines = [`version ${String(read.value.value['version'])}`]
  for (const entry of entries) lines.push(`${entry.entry} (${entry.failureDomain}): ${entry.live ? `version ${entry.version}` : 'not live: cut off or gone'}`)
  if (denied.length > 0) lines.push(`revoked, not in the table yet: ${denied.join(', ')}`)
  output.writeResult(read.value.value, lines.join('\n'))
  return EXIT_OK
}
