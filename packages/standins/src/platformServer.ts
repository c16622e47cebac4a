/** Simulated platform: table, object store and VM list over HTTP, with fault injection through `POST /control`. */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as wait } from 'node:timers/promises'
import { type Clock, createDecoder, type Random, TableQuery, type TableRead, Transaction, Vm } from '@fuchsiatally/core'
import { createSystemRandom } from '@fuchsiatally/core/testing/systemClock'
import { createPlatformFaults, type PlatformFaults } from '@fuchsiatally/table/testing/platformFaults'
import { createTableModel, type TableModel } from '@fuchsiatally/table/testing/tableModel'
import * as Schema from 'effect/Schema'
import { sendJson, startListener } from './httpStandin.js'
import { createProcessClock } from './processClock.js'
import { createRateLimit } from './rateLimit.js'

export interface PlatformServerOptions {
  /** Rate limit of transactions and object uploads, per second; default 400. */
  readonly writesPerS?: number
  /** Rate limit of all other calls, per second; default 2000. */
  readonly readsPerS?: number
  /** Propagation delay of changes to the VM list; default 1000. */
  readonly vmLagMs?: number
}

/** Body of `POST /control`: faults to inject and VMs to set. */
export interface PlatformControl {
  readonly faults?: Partial<PlatformFaults>
  readonly vms?: readonly Vm[]
  /** Whether the VMs become visible immediately instead of after the propagation delay. */
  readonly atOnce?: boolean
  /** Addresses that reads return in place of those in the table, so that peers connect through a relay. */
  readonly shownAddresses?: Readonly<Record<string, string>>
}

/** Response of `GET /counts`. */
export interface PlatformCounts {
  readonly transactions: number
  readonly reads: number
  /** Calls rejected by rate limiting. */
  readonly limited: number
  /** Transactions that were applied but whose response was lost. */
  readonly lostAnswers: number
}

export interface PlatformServer {
  readonly address: string
  readonly model: TableModel
  readonly faults: PlatformFaults
  readonly stop: () => Promise<void>
}

const SNAPSHOT_INTERVAL_MS = 2000
const decodeTransaction = createDecoder(Transaction)
const decodeQuery = createDecoder(TableQuery)
const decodeVms = createDecoder(Schema.Array(Vm))

/** Starts the simulated platform on a free loopback port. */
export async function startPlatformServer (options: PlatformServerOptions = {}): Promise<PlatformServer> {
  const clock: Clock = createProcessClock()
  const random: Random = createSystemRandom()
  const model = createTableModel()
  const faults = createPlatformFaults()
  const counts = { transactions: 0, reads: 0, limited: 0, lostAnswers: 0 }
  const takeWriteToken = createRateLimit(clock, options.writesPerS ?? 400)
  const takeReadToken = createRateLimit(clock, options.readsPerS ?? 2000)
  const shownAddresses = new Map<string, string>()
  let snapshot = model.createSnapshot()
  const snapshotTimer = setInterval(() => { snapshot = model.createSnapshot() }, SNAPSHOT_INTERVAL_MS)
  const isFaultInjected = (rate: number): boolean => rate > 0 && random.nextFloat() < rate

  const handleTransaction = async (body: Buffer, response: ServerResponse): Promise<void> => {
    const transaction = decodeTransaction(JSON.parse(body.toString()))
    if (transaction.isErr()) return sendJson(response, 400, { message: transaction.error.message })
    counts.transactions += 1
    if (isFaultInjected(faults.lateEffectRate)) {
      setTimeout(() => model.transact(transaction.value), faults.lateEffectMs)
      return
    }
    const report = model.transact(transaction.value)
    if (isFaultInjected(faults.lostAnswerRate)) {
      counts.lostAnswers += 1
      response.socket?.destroy()
      return
    }
    await wait(faults.delayMs)
    sendJson(response, report.outcome === 'applied' ? 200 : 409, report)
  }

  const handleRead = async (body: Buffer, response: ServerResponse): Promise<void> => {
    const query = decodeQuery(JSON.parse(body.toString()))
    if (query.isErr()) return sendJson(response, 400, { message: query.error.message })
    counts.reads += 1
    const result = (isFaultInjected(faults.staleReadRate) ? snapshot : model).read(query.value)
    await wait(faults.delayMs)
    sendJson(response, 200, replaceAddresses(result, shownAddresses))
  }

  const handleObject = (method: string, key: string, body: Buffer, response: ServerResponse): void => {
    if (method === 'PUT') {
      model.putObject(key, body)
      response.writeHead(204).end()
      return
    }
    const found = model.getObject(key)
    if (found === null) response.writeHead(404).end()
    else response.writeHead(200, { 'content-length': found.byteLength }).end(found)
  }

  const sendVms = (request: IncomingMessage, response: ServerResponse): void => {
    const vms = model.listVms()
    const etag = `"${createHash('sha256').update(JSON.stringify(vms)).digest('base64url')}"`
    if (request.headers['if-none-match'] === etag) {
      response.writeHead(304, { etag }).end()
      return
    }
    response.setHeader('etag', etag)
    sendJson(response, 200, { vms })
  }

  const applyControl = (body: Buffer, response: ServerResponse): void => {
    const control = JSON.parse(body.toString()) as PlatformControl
    Object.assign(faults, control.faults)
    for (const [address, replacement] of Object.entries(control.shownAddresses ?? {})) shownAddresses.set(address, replacement)
    const vms = decodeVms(control.vms ?? [])
    if (vms.isErr()) return sendJson(response, 400, { message: vms.error.message })
    const setVms = (): void => { for (const vm of vms.value) model.setVm(vm) }
    if (control.atOnce === true) setVms()
    else setTimeout(setVms, options.vmLagMs ?? 1000)
    sendJson(response, 200, { faults })
  }

  const handlePlatformCall = async (request: IncomingMessage, path: string, body: Buffer, response: ServerResponse): Promise<void> => {
    if (faults.silent) return
    if (faults.outage) {
      response.socket?.destroy()
      return
    }
    const method = request.method ?? ''
    const isWrite = path === '/table/transact' || method === 'PUT'
    if (faults.rateLimited || !(isWrite ? takeWriteToken() : takeReadToken())) {
      counts.limited += 1
      return sendJson(response, 429, { message: 'too many calls' })
    }
    await wait(faults.delayMs)
    if (path === '/table/transact') return await handleTransaction(body, response)
    if (path === '/table/read') return await handleRead(body, response)
    if (path === '/vms') return sendVms(request, response)
    if (path.startsWith('/objects/')) return handleObject(method, path.slice('/objects/'.length), body, response)
    sendJson(response, 404, { message: 'no such path' })
  }

  const listener = await startListener(async (request, body, response) => {
    const path = request.url ?? ''
    if (path === '/control') return applyControl(body, response)
    if (path === '/counts') return sendJson(response, 200, counts)
    await handlePlatformCall(request, path, body, response)
  })
  return {
    address: listener.address,
    model,
    faults,
    stop: () => {
      clearInterval(snapshotTimer)
      return listener.stop()
    }
  }
}

/** Replaces addresses wherever they occur as complete string values. */
function replaceAddresses (result: TableRead, replacements: ReadonlyMap<string, string>): TableRead {
  if (replacements.size === 0) return result
  return JSON.parse(JSON.stringify(result), (_, value) => typeof value === 'string' ? replacements.get(value) ?? value : value) as TableRead
}
