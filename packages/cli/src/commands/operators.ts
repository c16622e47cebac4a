/** Operator commands that do not take a manifest: `key`, `team`, `drain` and `events`. */
import { EXIT_OK, failCommand, type Command, type CommandContext } from '../command.js'
import { EXIT_CODES, type ExitCode } from '../exitCodes.js'
import { formatTable } from '../output.js'

interface KeyArguments {
  readonly action: 'grant' | 'revoke' | 'list'
  readonly name?: string | undefined
  readonly id?: string | undefined
}

export const key: Command<KeyArguments> = {
  usage: 'key <action> [name]',
  description: 'Grant a key to a team, revoke a key by its id, or list keys',
  examples: [
    ['$0 key grant clubs --id clubs-2026', 'print the key once; it is not stored'],
    ['$0 key revoke clubs-2026', 'rejected by every entry within seconds; exit code 24 while the platform cannot record it'],
    ['$0 key list', 'ids, teams and states']
  ],
  build: (argv) => argv
    .positional('action', { choices: ['grant', 'revoke', 'list'] as const, demandOption: true, describe: 'action to run' })
    .positional('name', { type: 'string', describe: 'grant: team; revoke: id of the key' })
    .option('id', { type: 'string', describe: 'grant: id of the new key; default: derived from the team' }),
  run: async (commandContext) => {
    if (commandContext.args.action === 'list') return await listKeys(commandContext)
    const { name } = commandContext.args
    const missingArgument = commandContext.args.action === 'grant' ? 'team' : 'key id'
    if (name === undefined) return failCommand(commandContext.output, { exitCode: EXIT_CODES.usage, message: `missing ${missingArgument}; usage: key ${commandContext.args.action} <name>` })
    return commandContext.args.action === 'grant' ? await grantKey(commandContext, name) : await revokeKey(commandContext, name)
  }
}

async function grantKey ({ args, output, operatorClient }: CommandContext<KeyArguments>, team: string): Promise<ExitCode> {
  const granted = await operatorClient.readJson('POST', '/v1/keys', { team, ...(args.id === undefined ? {} : { id: args.id }) })
  if (granted.isErr()) return failCommand(output, granted.error)
  output.writeNote(`key ${String(granted.value.value['id'])} of team ${team}; it is not shown again:`)
  output.writeResult(granted.value.value, String(granted.value.value['key']))
  return EXIT_OK
}

async function revokeKey ({ output, operatorClient }: CommandContext<KeyArguments>, id: string): Promise<ExitCode> {
  const revoked = await operatorClient.readJson('DELETE', `/v1/keys/${encodeURIComponent(id)}`)
  if (revoked.isErr()) return failCommand(output, revoked.error)
  const { value } = revoked.value
  if (value['durable'] === true) {
    output.writeResult(value, `revoked ${id} in version ${String(value['version'])}`)
    return EXIT_OK
  }
  const unknownKeyNote = value['known'] === true ? '' : `; this entry knows no key ${id}: compare the id with \`fuchsiatally key list\``
  output.writeResult(value, `${id}: ${String(value['detail'])}${unknownKeyNote}`)
  return EXIT_CODES.notDurable
}

async function listKeys ({ output, operatorClient }: CommandContext<KeyArguments>): Promise<ExitCode> {
  const listed = await operatorClient.readJson('GET', '/v1/keys')
  if (listed.isErr()) return failCommand(output, listed.error)
  const keys = listed.value.value['keys'] as readonly { id: string, team?: string, source?: string, state: string }[]
  output.writeResult(listed.value.value, formatTable(['KEY', 'TEAM', 'FROM', 'STATE'], keys.map((listedKey) => [listedKey.id, listedKey.team ?? '-', listedKey.source ?? '-', listedKey.state])))
  return EXIT_OK
}

interface TeamView {
  readonly name: string
  readonly share: number
  readonly open: boolean
  /** Whether an entry that cannot learn of key revocations still accepts requests with a key: `serve` or `refuse`. */
  readonly whenCut: string
  readonly ceiling: { readonly resources: { readonly processors: number, readonly memoryMb: number, readonly accelerators: number }, readonly requests: number }
  readonly keyIds: readonly string[]
}

interface TeamUsageView {
  readonly team: string
  readonly runningShare: number
  /** Resources that the team received, as a ratio of those that its share entitles it to. */
  readonly receivedOverEntitled: number
  readonly waitingTasks: number
}

export const team: Command<{ readonly name?: string | undefined }> = {
  usage: 'team [name]',
  description: 'Show teams with their shares, ceilings and usage',
  examples: [['$0 team', 'all teams'], ['$0 team clubs --json', 'one team with its limits and key ids']],
  build: (argv) => argv.positional('name', { type: 'string', describe: 'show only this team' }),
  run: async ({ args, output, operatorClient }) => {
    const listed = await operatorClient.readJson('GET', '/v1/teams')
    if (listed.isErr()) return failCommand(output, listed.error)
    // Usage is held in the scheduler's memory and may be unavailable; the rest is shown without it.
    const shares = await operatorClient.readJson('GET', '/v1/teams/shares')
    const usages = shares.isOk() ? shares.value.value['shares'] as readonly TeamUsageView[] : []
    const allTeams = listed.value.value['teams'] as readonly TeamView[]
    const teams = allTeams.filter((view) => args.name === undefined || view.name === args.name).map((view) => ({ ...view, received: usages.find((usage) => usage.team === view.name) }))
    if (args.name !== undefined && teams.length === 0) return failCommand(output, { exitCode: EXIT_CODES.notFound, message: `no team ${args.name} in the manifest in force` })
    const header = ['TEAM', 'SHARE', 'CEILING (cores/MB/accelerators/requests)', 'RUNNING', 'RECEIVED/ENTITLED', 'WAITING', 'WHEN CUT', 'KEYS']
    output.writeResult({ teams }, formatTable(header, teams.map(formatTeamRow)))
    return EXIT_OK
  }
}

function formatTeamRow (view: TeamView & { readonly received: TeamUsageView | undefined }): string[] {
  const { resources, requests } = view.ceiling
  return [
    view.name,
    String(view.share),
    `${resources.processors}/${resources.memoryMb}/${resources.accelerators}/${requests}`,
    view.received === undefined ? '-' : `${(view.received.runningShare * 100).toFixed(1)}%`,
    view.received === undefined ? '-' : view.received.receivedOverEntitled.toFixed(2),
    view.received === undefined ? '-' : String(view.received.waitingTasks),
    view.open ? 'open' : view.whenCut,
    view.keyIds.join(',') || '-'
  ]
}

export const drain: Command<{ readonly vm: string, readonly undo: boolean }> = {
  usage: 'drain <vm>',
  description: 'Stop placing work on a worker VM; its running tasks finish',
  examples: [['$0 drain w-matching-07', 'before the VM is replaced'], ['$0 drain w-matching-07 --undo', 'return the VM to use']],
  build: (argv) => argv
    .positional('vm', { type: 'string', demandOption: true, describe: 'id of the VM' })
    .option('undo', { type: 'boolean', default: false, describe: 'return the VM to use' }),
  run: async ({ args, output, operatorClient }) => {
    const sent = await operatorClient.readJson(args.undo ? 'DELETE' : 'POST', `/v1/vms/${encodeURIComponent(args.vm)}/drain`)
    if (sent.isErr()) return failCommand(output, sent.error)
    output.writeResult(sent.value.value, `${args.vm} ${args.undo ? 'is in use again' : 'gets no new work'} (version ${String(sent.value.value['version'])})`)
    return EXIT_OK
  }
}

export const events: Command<{ readonly follow: boolean }> = {
  usage: 'events',
  description: 'Show the recent events of one entry',
  examples: [['$0 events --follow', 'stream events until interrupted'], ['$0 events --json', 'one JSON object per line']],
  build: (argv) => argv.option('follow', { type: 'boolean', default: false, describe: 'stream events until interrupted' }),
  run: async ({ args, output, operatorClient, cliContext }) => {
    const followed = await operatorClient.followLines(`/v1/events${args.follow ? '?follow=true' : ''}`, (line) => {
      cliContext.writeOut(`${args.json ? line : formatEventLine(line)}\n`)
    })
    return followed.isErr() ? failCommand(output, followed.error) : EXIT_OK
  }
}

/** Formats an event as readable text; returns a line that is not an event unchanged. */
function formatEventLine (line: string): string {
  try {
    const { time, event, level, title, fields } = JSON.parse(line) as { time: string, event: string, level: string, title: string, fields: Record<string, unknown> }
    const shown = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    return [time, event, level, title, ...shown].join(' ')
  } catch {
    return line
  }
}
