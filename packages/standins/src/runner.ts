/** Runner of one service on one worker: slots, connections, and a record of everything it works on. */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { type Listener, startListener } from './httpStandin.js'
import { readMachineMs } from './processClock.js'
import type { ExecutionRecord } from './records.js'

/** `silent`: works but never answers; `truncating`: breaks off in the middle of its answer; `refusing`: has no slot. */
export type RunnerMode = 'normal' | 'silent' | 'truncating' | 'refusing'

export interface RunnerOptions {
  readonly worker: string
  readonly service: string
  /** Default 8. */
  readonly slots?: number
  /** Default 64. */
  readonly connections?: number
  readonly onBusyChange: (busy: number) => void
}

export interface Runner extends Listener {
  readonly executions: ExecutionRecord[]
  readonly setMode: (mode: RunnerMode, extraWorkMs: number) => void
  readonly countRefusals: () => number
}

/** Body of a runner's answer. */
export interface RunnerAnswer {
  readonly requestKey: string
  readonly worker: string
  /** SHA-256 of the request's body, in hexadecimal. */
  readonly bodySha256: string
  /** As many characters as the header `x-answer-bytes` asks for. */
  readonly filler: string
}

const MAX_WORK_MS = 60_000
const PIECES = 8

/** Starts a runner on a free loopback port. */
export async function startRunner (options: RunnerOptions): Promise<Runner> {
  const slots = options.slots ?? 8
  const executions: ExecutionRecord[] = []
  let mode: RunnerMode = 'normal'
  let extraWorkMs = 0
  let busy = 0
  let refusals = 0

  const setBusy = (change: number): void => {
    busy += change
    options.onBusyChange(busy)
  }

  const refuse = (response: ServerResponse): void => {
    refusals += 1
    response.writeHead(503, { 'fuchsiatally-refused': '1', 'content-length': '0' }).end()
  }

  const handle = async (request: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> => {
    if (busy >= slots || mode === 'refusing') return refuse(response)
    setBusy(1)
    const execution: ExecutionRecord = {
      worker: options.worker,
      service: options.service,
      team: readHeader(request, 'fuchsiatally-team'),
      requestKey: readHeader(request, 'x-request-key'),
      startedAtMs: readMachineMs()
    }
    executions.push(execution)
    await wait(Math.min(MAX_WORK_MS, Number(request.headers['x-work-ms'] ?? 0)) + extraWorkMs)
    execution.endedAtMs = readMachineMs()
    setBusy(-1)
    if (mode === 'silent') return
    await sendAnswer(request, response, createAnswer(options.worker, request, body), mode === 'truncating')
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

function createAnswer (worker: string, request: IncomingMessage, body: Buffer): Buffer {
  const answer: RunnerAnswer = {
    requestKey: readHeader(request, 'x-request-key'),
    worker,
    bodySha256: createHash('sha256').update(body).digest('hex'),
    filler: 'x'.repeat(Number(request.headers['x-answer-bytes'] ?? 0))
  }
  return Buffer.from(JSON.stringify(answer))
}

/** Sends an answer, in slow pieces where the header `x-slow-answer-ms` asks for it. */
async function sendAnswer (request: IncomingMessage, response: ServerResponse, answer: Buffer, truncate: boolean): Promise<void> {
  const slowMs = Math.min(MAX_WORK_MS, Number(request.headers['x-slow-answer-ms'] ?? 0))
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': answer.length,
    'fuchsiatally-request': readHeader(request, 'fuchsiatally-request')
  })
  const size = Math.ceil(answer.length / PIECES)
  for (let from = 0; from < answer.length; from += size) {
    if (truncate && from > 0) {
      request.socket.destroy()
      return
    }
    response.write(answer.subarray(from, from + size))
    if (slowMs > 0 || truncate) await wait(slowMs / PIECES)
  }
  response.end()
}

function readHeader (request: IncomingMessage, name: string): string {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}
