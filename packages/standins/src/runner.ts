/** Simulated runner of one service on one worker; limits slots and connections, and records every execution. */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { type Listener, startListener } from './httpStandin.js'
import { readMonotonicMs } from './processClock.js'
import type { ExecutionRecord } from './records.js'

/** `silent`: executes but never responds; `truncating`: closes the connection in mid-response; `refusing`: has no free slot. */
export type RunnerMode = 'normal' | 'silent' | 'truncating' | 'refusing'

export interface RunnerOptions {
  readonly worker: string
  readonly service: string
  /** Maximum number of concurrent exchanges; default 8. */
  readonly slots?: number
  /** Maximum number of open connections; default 64. */
  readonly connections?: number
  readonly onBusyChange: (busy: number) => void
}

export interface Runner extends Listener {
  readonly executions: ExecutionRecord[]
  readonly setMode: (mode: RunnerMode, extraWorkMs: number) => void
  readonly countRefusals: () => number
}

/** Response body of a runner. */
export interface RunnerResponse {
  readonly requestKey: string
  readonly worker: string
  /** Hex-encoded SHA-256 of the request body. */
  readonly bodySha256: string
  /** Padding of the length that the header `x-answer-bytes` requests. */
  readonly filler: string
}

const MAX_WORK_MS = 60_000
const CHUNK_COUNT = 8

/** Starts a runner on a free loopback port. */
export async function startRunner (options: RunnerOptions): Promise<Runner> {
  const slots = options.slots ?? 8
  const executions: ExecutionRecord[] = []
  let mode: RunnerMode = 'normal'
  let extraWorkMs = 0
  let busy = 0
  let refusals = 0

  const updateBusyCount = (change: number): void => {
    busy += change
    options.onBusyChange(busy)
  }

  const refuse = (response: ServerResponse): void => {
    refusals += 1
    response.writeHead(503, { 'fuchsiatally-refused': '1', 'content-length': '0' }).end()
  }

  const handle = async (request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> => {
    if (busy >= slots || mode === 'refusing') return refuse(response)
    updateBusyCount(1)
    const execution: ExecutionRecord = {
      worker: options.worker,
      service: options.service,
      team: readHeader(request, 'fuchsiatally-team'),
      requestKey: readHeader(request, 'x-request-key'),
      startedAtMs: readMonotonicMs()
    }
    executions.push(execution)
    await wait(Math.min(MAX_WORK_MS, Number(request.headers['x-work-ms'] ?? 0)) + extraWorkMs)
    execution.endedAtMs = readMonotonicMs()
    updateBusyCount(-1)
    if (mode === 'silent') return
    await sendResponse(request, response, createResponseBody(options.worker, request, body), mode === 'truncating')
  }

  const listener = await startListener(handle)
  listener.server.maxConnections = options.connections ?? 64
  return {
    ...listener,
    executions,
    countRefusals: () => refusals,
    setMode: (newMode, workMs) => {
      mode = newMode
      extraWorkMs = workMs
    }
  }
}

function createResponseBody (worker: string, request: IncomingMessage, body: Buffer): Buffer {
  const responseBody: RunnerResponse = {
    requestKey: readHeader(request, 'x-request-key'),
    worker,
    bodySha256: createHash('sha256').update(body).digest('hex'),
    filler: 'x'.repeat(Number(request.headers['x-answer-bytes'] ?? 0))
  }
  return Buffer.from(JSON.stringify(responseBody))
}

/** Sends a response in chunks, distributed over the time that the header `x-slow-answer-ms` requests. */
async function sendResponse (request: IncomingMessage, response: ServerResponse, responseBody: Buffer, truncate: boolean): Promise<void> {
  const slowMs = Math.min(MAX_WORK_MS, Number(request.headers['x-slow-answer-ms'] ?? 0))
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': responseBody.length,
    'fuchsiatally-request': readHeader(request, 'fuchsiatally-request')
  })
  const size = Math.ceil(responseBody.length / CHUNK_COUNT)
  for (let from = 0; from < responseBody.length; from += size) {
    if (truncate && from > 0) {
      request.socket.destroy()
      return
    }
    response.write(responseBody.subarray(from, from + size))
    if (slowMs > 0 || truncate) await wait(slowMs / CHUNK_COUNT)
  }
  response.end()
}

function readHeader (request: IncomingMessage, name: string): string {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}
