/** Command `request`, which sends a request to a service and prints the response once it has been received completely. */
import { readFileSync } from 'node:fs'
import type { Command } from '../command.js'
import { EXIT_OK, failCommand } from '../command.js'
import { createProblemFailure, parseObject, type RequestOptions, type EntryResponse } from '../entryClient.js'
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
  description: 'Send a request to a service and print the response',
  examples: [
    ['$0 request matching /pairs?school=tango', 'a GET request'],
    ['$0 request matching /confirmations --method POST --data @pair.json', 'runs at most once; exit code 11 means that it may have run'],
    ['$0 request pages /status --team visitors', 'an open queue, without a key']
  ],
  build: (argv) => argv
    .positional('service', { type: 'string', demandOption: true, describe: 'name of a service in the manifest' })
    .positional('path', { type: 'string', describe: 'path and query at the endpoint; default: /' })
    .option('method', { type: 'string', default: 'GET', describe: 'HTTP method' })
    .option('data', { type: 'string', describe: 'body; @FILE reads it from a file' })
    .option('idempotent', { type: 'boolean', describe: 'allow a retry at another endpoint; default: true for GET and HEAD' })
    .option('ticket', { type: 'string', describe: 'ticket that makes repeats of the request run at most once' }),
  run: async ({ args, output, teamClient }) => {
    const method = args.method.toUpperCase()
    if (args.data !== undefined && BODILESS_METHODS.has(method)) {
      return failCommand(output, { exitCode: EXIT_CODES.usage, message: `--data cannot be used with ${method}; choose another --method` })
    }
    const requestOptions = createRequestOptions(args)
    if (requestOptions === undefined) return failCommand(output, { exitCode: EXIT_CODES.badConfig, message: `${String(args.data)}: cannot be read; name a readable file after @` })
    const path = `/v1/services/${encodeURIComponent(args.service)}/${(args.path ?? '').replace(/^\//, '')}`
    const response = await teamClient.sendRequest(method, path, requestOptions)
    if (response.isErr()) return failCommand(output, response.error)
    const outcome = response.value.headers.get('fuchsiatally-outcome')
    if (outcome !== 'completed') return failCommand(output, createProblemFailure(response.value.status, parseObject(response.value.body)))
    if (args.json) output.writeResult(renderResponse(response.value), '')
    else output.writeBytes(response.value.body)
    return response.value.status >= 400 ? EXIT_CODES.errorAnswer : EXIT_OK
  }
}

/** Builds the headers and the body; returns `undefined` if the file named by `--data` cannot be read. */
function createRequestOptions (args: RequestArguments): RequestOptions | undefined {
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

function renderResponse (response: EntryResponse): object {
  return {
    status: response.status,
    headers: Object.fromEntries(response.headers),
    bodyBase64: Buffer.from(response.body).toString('base64')
  }
}
