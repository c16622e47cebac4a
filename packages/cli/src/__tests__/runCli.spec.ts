/** Tests the command line against a server with canned responses: exit codes, output, and that no key is printed. */
import { readFileSync } from 'node:fs'
import { createServer, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import fc from 'fast-check'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { EXIT_CODES, runCli } from '../index.js'

const SECRET = `ft_ops_${'5'.repeat(64)}`
const EXAMPLES = new URL('../../../../examples/', import.meta.url)
const MANIFEST = new URL('tancopar.toml', EXAMPLES).pathname

interface CannedResponse {
  readonly status: number
  readonly body: unknown
  readonly headers?: Record<string, string>
}

interface Call {
  readonly line: string
  readonly authorization: string | undefined
  readonly body: string
}

let getResponse: (line: string) => CannedResponse | 'destroy' = () => ({ status: 404, body: {} })
const calls: Call[] = []

async function readText (message: IncomingMessage): Promise<string> {
  let text = ''
  for await (const chunk of message) text += String(chunk)
  return text
}

const server = createServer((message, response) => {
  readText(message).then((body) => {
    const line = `${message.method} ${message.url}`
    calls.push({ line, authorization: message.headers.authorization, body })
    const canned = getResponse(line)
    if (canned === 'destroy') {
      message.socket.destroy()
      return
    }
    response.writeHead(canned.status, canned.headers)
    response.end(typeof canned.body === 'string' ? canned.body : JSON.stringify(canned.body))
  }, () => {})
})
await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
const entry = `127.0.0.1:${(server.address() as AddressInfo).port}`

async function run (line: string, env: Record<string, string> = {}): Promise<{ code: number, out: string, err: string }> {
  let out = ''
  let err = ''
  calls.length = 0
  const code = await runCli(line.split(' ').filter((part) => part !== ''), {
    env: { FUCHSIATALLY_ENTRY: entry, FUCHSIATALLY_OPERATOR_KEY: SECRET, FUCHSIATALLY_KEY: SECRET, ...env },
    writeOut: (text) => { out += typeof text === 'string' ? text : Buffer.from(text).toString('latin1') },
    writeErr: (text) => { err += text },
    isTerminal: false,
    wait: async () => {}
  })
  assert.not(`${out}${err}`.includes(SECRET), 'a key was printed')
  return { code, out, err }
}

test('each problem code has its exit code, in text and in JSON', async () => {
  const codes: Record<string, number> = {
    not_run: 10, unknown: 11, unauthorized: 13, not_found: 14, conflict: 15, over_limit: 16, never_fits: 17, bad_request: 18, not_ready: 19, platform_unavailable: 20, internal: 1
  }
  for (const [code, exitCode] of Object.entries(codes)) {
    getResponse = () => ({ status: 500, body: { code, title: 'T', detail: 'D', retryAfterMs: 1500 } })
    assert.is((await run('status')).code, exitCode, code)
    const json = await run('status --json')
    assert.is(JSON.parse(json.out).error.exitCode, exitCode)
  }
  assert.match((await run('status')).err, 'T: D; retry in 2 s')
})

test('a request has separate exit codes for an error response, not run, unknown and unreachable', async () => {
  const done = { 'fuchsiatally-outcome': 'completed' }
  getResponse = () => ({ status: 200, body: 'hello', headers: done })
  const completed = await run('request matching /pairs?x=1 --no-idempotent')
  assert.equal([completed.code, completed.out], [0, 'hello'], 'exactly the bytes of the response')
  assert.is(calls[0]?.line, 'GET /v1/services/matching/pairs?x=1')
  getResponse = () => ({ status: 404, body: '{"code":"not_run"}', headers: done })
  assert.is((await run('request matching')).code, EXIT_CODES.errorAnswer)
  getResponse = () => ({ status: 503, body: { code: 'not_run', title: 'T', detail: 'D' }, headers: { 'fuchsiatally-outcome': 'not_run' } })
  assert.is((await run('request matching')).code, EXIT_CODES.notRun)
  getResponse = () => 'destroy'
  assert.is((await run('request matching --method POST --data x')).code, EXIT_CODES.unknown)
  assert.is((await run('request matching --entry 127.0.0.1:1')).code, EXIT_CODES.unreachable)
})

test('a submission whose response is lost is retried with the same id', async () => {
  const job = new URL('job.toml', EXAMPLES).pathname
  let failuresLeft = 2
  getResponse = () => failuresLeft-- > 0 ? 'destroy' : { status: 202, body: { id: 'schools:x' } }
  const sent = await run(`submit ${job}`)
  assert.equal([sent.code, sent.out, calls.length], [0, 'schools:x\n', 3])
  assert.is(new Set(calls.map((call) => JSON.parse(call.body).id)).size, 1)
})

test('status --wait retries while the entry is temporarily unavailable', async () => {
  let failuresLeft = 3
  getResponse = () => failuresLeft-- > 0 ? 'destroy' : { status: 200, body: { id: 'schools:x', phase: failuresLeft < -2 ? 'failed' : 'running', spec: { kind: 'batch', taskCount: 1 }, tasks: [] } }
  assert.is((await run('status schools:x --wait')).code, EXIT_CODES.jobFailed)
  assert.is(calls.length, 6)
  failuresLeft = 1
  assert.is((await run('status schools:x')).code, EXIT_CODES.unknown)
})

test('apply sends the version that the diff was based on, waits, and lists the lagging entries', async () => {
  let inForce = 4
  getResponse = (line) => {
    if (line === 'POST /v1/config/diff') return { status: 200, body: { version: 4, fresh: true, changes: [] } }
    if (line === 'PUT /v1/config') return { status: 200, body: { version: 5, warnings: ['w1'] } }
    return { status: 200, body: { entries: [{ entry: 'e1', version: 5, live: true }, { entry: 'e2', version: inForce, live: true }, { entry: 'e3', version: 1, live: false }] } }
  }
  const lagging = await run(`apply ${MANIFEST} --wait --wait-seconds 1`)
  assert.is(lagging.code, EXIT_CODES.lagging)
  assert.match(lagging.err, 'e2 (version 4)')
  inForce = 5
  const done = await run(`apply ${MANIFEST} --wait`)
  assert.equal([done.code, done.out, done.err], [0, 'version 5 is in force at every live entry\n', 'warning: w1\n'])
  assert.is(JSON.parse(calls.find((call) => call.line === 'PUT /v1/config')!.body).expectedVersion, 4)
  await run(`apply ${MANIFEST} --expected-version 2`)
  assert.is(JSON.parse(calls.find((call) => call.line === 'PUT /v1/config')!.body).expectedVersion, 2)
})

test('a revocation that is not durable yet has its own exit code', async () => {
  getResponse = () => ({ status: 202, body: { durable: false, known: false, detail: 'not in the table yet' } })
  const revoked = await run('key revoke clubs-1')
  assert.is(revoked.code, EXIT_CODES.notDurable)
  assert.match(revoked.out, 'knows no key clubs-1')
})

test('an invalid command line is rejected with a suggestion', async () => {
  assert.match((await run('aply x')).err, 'Did you mean apply?')
  assert.match((await run('apply x --wat')).err, 'did you mean --wait?')
  assert.match((await run('status --timeout soon')).err, '--timeout is not a number')
  for (const line of ['', 'aply x', 'apply', 'key grnt', 'key grant', 'config check', 'request a --data x', 'apply x --wat']) assert.is((await run(line)).code, EXIT_CODES.usage, line)
  assert.is((await run('config check nowhere.toml')).code, EXIT_CODES.badConfig)
  assert.is((await run(`apply ${new URL('job.toml', EXAMPLES).pathname}`)).code, EXIT_CODES.badConfig)
})

test('no command line makes runCli throw', async () => {
  getResponse = () => ({ status: 200, body: '[1' })
  const words = fc.array(fc.oneof(fc.constantFrom('status', 'key', 'list', 'team', 'config', 'status', 'drain', '--json', '--wait', '--entry', '--', '-x'), fc.string()), { maxLength: 5 })
  const streams = { env: { FUCHSIATALLY_ENTRY: entry }, writeOut: () => {}, writeErr: () => {}, isTerminal: true, wait: async () => {} }
  await fc.assert(fc.asyncProperty(words, async (argv) => {
    const known: readonly number[] = Object.values(EXIT_CODES)
    assert.ok(known.includes(await runCli([...argv, '--timeout', '2'], streams)))
  }), resolveFuzzOptions(20260105, 200))
})

test('the docs list every exit code', () => {
  const page = readFileSync(new URL('../docs/operators/exit-codes.md', EXAMPLES), 'utf8')
  for (const [name, code] of Object.entries(EXIT_CODES)) assert.match(page, `| ${code} | ${name} |`)
})

test.after(() => { server.close() })

test.run()
