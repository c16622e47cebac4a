/** The command line against real processes: key lifecycle, a paused entry, concurrent operators, a platform outage. */
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { EXIT_CODES, runCli } from '@fuchsiatally/cli'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { startCluster, waitFor, type Cluster } from '../cluster.js'
import { createDeployment } from '../deployment.js'
import { writeFileSync, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'

/** Exceeds the time for which an entry that receives no updates considers its configuration fresh. */
const CONFIG_STALENESS_MS = 5000
/** Generous timeout of waits whose duration is not under test. */
const TIMEOUT_MS = 20_000
const JOB = fileURLToPath(new URL('../../../../examples/job.toml', import.meta.url))

const deployment = createDeployment({
  cell: 'operators',
  domains: ['a', 'b', 'c'],
  entryCount: 3,
  pools: [{ name: 'pages', count: 3, resources: { processors: 16, memoryMb: 65_536, accelerators: 0 }, service: 'proof' }],
  teams: [{ name: 'parishes', share: 2 }, { name: 'schools', share: 1 }]
})
const directory = mkdtempSync(join(tmpdir(), 'fuchsiatally-operators-'))
const manifestFile = join(directory, 'cell.toml')
let cluster: Cluster

async function runCommand (index: number, line: string, key?: string): Promise<{ code: number, out: string }> {
  let out = ''
  const code = await runCli(line.split(' '), {
    env: {
      FUCHSIATALLY_ENTRY: cluster.entries[index]!.httpAddress,
      FUCHSIATALLY_OPERATOR_KEY: cluster.operatorKey,
      ...(key === undefined ? {} : { FUCHSIATALLY_KEY: key })
    },
    writeOut: (text) => { out += Buffer.from(text).toString('utf8') },
    writeErr: () => {},
    isTerminal: false,
    wait: async (ms) => { await wait(ms) }
  })
  return { code, out }
}

async function grantKey (index: number, id: string): Promise<string> {
  const granted = await runCommand(index, `key grant schools --id ${id} --json`)
  assert.is(granted.code, 0)
  return JSON.parse(granted.out).key
}

test.before(async () => { cluster = await startCluster({ deployment }) })
test.after(async () => {
  rmSync(directory, { recursive: true, force: true })
  assert.equal(await cluster.stop(), [])
})

test('a granted key works for requests and jobs at every entry and never appears in a log', async () => {
  const key = await grantKey(0, 's1')
  for (const index of [0, 1, 2]) assert.ok(await waitFor(async () => (await runCommand(index, 'request proof /hello', key)).code === 0, TIMEOUT_MS))
  const submitted = await runCommand(1, `submit ${JOB}`, key)
  assert.is((await runCommand(2, `status ${submitted.out.trim()} --wait`, key)).code, 0)
  assert.is((await runCommand(0, 'team schools')).code, 0)
  assert.is((await runCommand(2, `explain ${submitted.out.trim()}`, key)).code, 0)
  for (const index of [0, 1, 2]) assert.not((await runCommand(index, 'events --json')).out.includes(key))
})

test('an entry resumed from a pause rejects the first request with a key that was revoked meanwhile', async () => {
  const key = await grantKey(0, 's2')
  assert.ok(await waitFor(async () => (await runCommand(2, 'request proof /hello', key)).code === 0, TIMEOUT_MS))
  cluster.entries[2]!.child.sendSignal('SIGSTOP')
  try {
    assert.is((await runCommand(0, 'key revoke s2')).code, 0)
    await wait(CONFIG_STALENESS_MS)
    assert.is((await runCommand(1, 'request proof /hello', key)).code, EXIT_CODES.unauthorized)
  } finally {
    cluster.entries[2]!.child.sendSignal('SIGCONT')
  }
  assert.is((await runCommand(2, 'request proof /hello', key)).code, EXIT_CODES.unauthorized)
  assert.is((await runCommand(2, 'key grant schools --id s2')).code, EXIT_CODES.conflict)
})

test('of two concurrent applies one fails with a conflict; the other waits until its version is in force everywhere', async () => {
  const version = JSON.parse((await runCommand(0, 'config status --json')).out).version
  const { manifest } = deployment
  const teams = manifest.teams.map((team) => ({ ...team, share: team.share + 1 }))
  writeFileSync(manifestFile, stringify({ ...manifest, teams }))
  const codes = await Promise.all([0, 1].map(async (index) => (await runCommand(index, `apply ${manifestFile} --wait --expected-version ${version}`)).code))
  assert.equal(codes.sort((a, b) => a - b), [0, EXIT_CODES.conflict])
  for (const index of [0, 1, 2]) {
    const readStatus = async () => JSON.parse((await runCommand(index, 'config status --json')).out)
    assert.is((await readStatus()).version, version + 1)
    // Entries learn each other's configuration version from heartbeats.
    const knowsAll = async (): Promise<boolean> => {
      const status = await readStatus()
      return status.lagging.length === 0 && status.entries.length === 3
    }
    assert.ok(await waitFor(knowsAll, TIMEOUT_MS), `entry ${index} still reports lagging entries`)
  }
  assert.is((await runCommand(0, `diff ${manifestFile} --exit-code`)).code, 0)
})

test('a revocation during a platform outage takes effect immediately and becomes durable after it', async () => {
  const key = await grantKey(1, 's3')
  const other = await grantKey(1, 's4')
  assert.ok(await waitFor(async () => (await runCommand(2, 'request proof /hello', key)).code === 0, TIMEOUT_MS))
  await cluster.controlPlatform({ faults: { outage: true } })
  assert.is((await runCommand(0, 'key revoke s3')).code, EXIT_CODES.notDurable)
  for (const index of [0, 1, 2]) assert.is((await runCommand(index, 'request proof /hello', key)).code, EXIT_CODES.unauthorized)
  for (const line of ['key grant schools', 'drain operators-pages-0', `apply ${manifestFile}`, 'status', `submit ${JOB}`]) {
    assert.is((await runCommand(0, line, other)).code, EXIT_CODES.platformUnavailable, line)
  }
  for (const line of ['key list', 'team', 'config status', `diff ${manifestFile}`]) assert.is((await runCommand(0, line)).code, 0, line)
  assert.is((await runCommand(1, 'request proof /hello --team visitors')).code, 0, 'the open queue still serves requests')
  await cluster.controlPlatform({ faults: { outage: false } })
  const isDurable = async (): Promise<boolean> => (await runCommand(2, 'key list --json')).out.includes('{"id":"s3","state":"revoked"}')
  assert.ok(await waitFor(isDurable, TIMEOUT_MS))
})

test.run()
