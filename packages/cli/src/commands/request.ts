/** `request`: sends one request to a service and prints its whole answer. */
import { readFileSync } from 'node:fs'
import type { Command } from '../command.js'
import { EXIT_OK, stopWith } from '../command.js'
import { createProblemFailure, parseObject, type CallOptions, type EntryAnswer } from '../entryClient.js'
import { EXIT_CODES } from '../exitCodes.js'

interface RequestArguments {
  readonly service: string
  readonly path?: string | undefined
  readonly method: string
  readonly data?: string | undefined
  readonly idempotent?: boolean | undefined
  readonly ticket?: string | undefined
}

const BODILESS_METHODS = new Set(['GET', 'HEAD'])

export const request: Command<RequestArguments> = {
  usage: 'request <service> [path]',
  description: 'Send a request to a service and print the answer',
  examples: [
    ['$0 request matching /pairs?school=tango', 'a GET request'],
    ['$0 request matching /confirmations --method POST --data @pair.json', 'runs at most once; exit code 11 means that it may have run'],
    ['$0 request pages /status --team visitors', 'an open queue, without a key']
  ],
  build: (argv) => argv
    .positional('service', { type: 'string', demandOption: true, describe: 'service of the manifest' })
    .positional('path', { type: 'string', describe: 'path and query at the endpoint; / where absent' })
    .option('method', { type: 'string', default: 'GET', describe: 'HTTP method' })
    .option('data', { type: 'string', describe: 'body; @FILE reads it from a file' })
    .option('idempotent', { type: 'boolean', describe: 'may be sent to a second endpoint; true for GET and HEAD where absent' })
    .option('ticket', { type: 'string', describe: 'ticket under which a repeated request runs at most once' }),
  run: async ({ args, output, caller }) => {
    const method = args.method.toUpperCase()
    if (args.data !== undefined && BODILESS_METHODS.has(method)) {
      return stopWith(output, { exitCode: EXIT_CODES.usage, message: `${method} takes no --data; name another --method` })
    }
    const call = createCall(args)
    if (call === undefined) return stopWith(output, { exitCode: EXIT_CODES.badConfig, message: `${String(args.data)}: cannot be read; name a readable file after @` })
    const path = `/v1/services/${encodeURIComponent(args.service)}/${(args.path ?? '').replace(/^\//, '')}`
    const answer = await caller.sendRequest(method, path, call)
    if (answer.isErr()) return stopWith(output, answer.error)
    const outcome = answer.value.headers.get('fuchsiatally-outcome')
    if (outcome !== 'completed') return stopWith(output, createProblemFailure(answer.value.status, parseObject(answer.value.body)))
    if (args.json) output.writeResult(renderAnswer(answer.value), '')
    else output.writeBytes(answer.value.body)
    return answer.value.status >= 400 ? EXIT_CODES.errorAnswer : EXIT_OK
  }
}

function createCall (args: RequestArguments): CallOptions | undefined {
  const headers: Record<string, string> = {}
  if (args.idempotent !== undefined) headers['fuchsiatally-idempotent'] = String(args.idempotent)
  if (args.ticket !== undefined) headers['fuchsiatally-ticket'] = args.ticket
  if (args.data === undefined) return { headers }
  if (!args.data.startsWith('@')) return { headers, body: args.data }
  try {
    return { headers, body: new Uint8Array(readFileSync(args.data.slice(1))) }
  } catch {
    return undefined
  }
}

function renderAnswer (answer: EntryAnswer): object {
  return {
    status: answer.status,
    headers: Object.fromEntries(answer.headers),
    bodyBase64: Buffer.from(answer.body).toString('base64')
  }
}
