/** Life of the process: sockets are opened, the entry takes part, and a planned stop hands everything over. */
import { randomBytes } from 'node:crypto'
import { parseAddress, type ResolvedSettings } from '@fuchsiatally/core'
import * as Effect from 'effect/Effect'
import type * as Scope from 'effect/Scope'
import { createHttpPlatformClient } from '@fuchsiatally/platform'
import { createEventLog, type FollowableEventLog } from '../telemetry/eventLog.js'
import { createMetrics, type Metrics } from '../telemetry/metrics.js'
import { createHttpServer, type HttpServer } from '../http/httpServer.js'
import { createStatusRoutes } from '../http/statusRoutes.js'
import { createPeerMesh } from '../link/peerMesh.js'
import { createHttpEndpointClient } from '../request/httpEndpointClient.js'
import { createHttpWorkerClient } from '../vm/httpWorkerClient.js'
import { createEntry, type Entry } from './entry.js'
import { processStarted, processStopped, processStopping, startFailed, stopOverdue } from './events.js'
import { createSystemClock, createSystemRandom } from './systemClock.js'

/** How a run ended. */
export type RunResult = 'stopped' | 'lost' | 'startFailed'

const INCARNATION_BYTES = 12
const STOP_POLL_MS = 20

/** Why the process shall end. */
type StopCause = 'signal' | 'lost'

/** Resolves with the cause of the stop; a second signal ends the process at once. */
function createStopWaiter (): { readonly cause: Promise<StopCause>, readonly stopLost: () => void } {
  let stop: (cause: StopCause) => void = () => {}
  const cause = new Promise<StopCause>((resolve) => { stop = resolve })
  let signalled = false
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (signalled) process.exit(1)
      signalled = true
      stop('signal')
    })
  }
  return { cause, stopLost: () => { stop('lost') } }
}

function resolveLogFormat (format: ResolvedSettings['log']['format']): 'json' | 'text' {
  if (format !== 'auto') return format
  return process.stdout.isTTY ? 'text' : 'json'
}

/** Counts each event beside logging it. */
function createCountedLog (settings: ResolvedSettings, metrics: Metrics): FollowableEventLog {
  const log = createEventLog({ clock: createSystemClock(), level: settings.log.level, format: resolveLogFormat(settings.log.format) })
  return {
    ...log,
    record: (event, fields) => {
      metrics.countEvent(event, fields)
      log.record(event, fields)
    }
  }
}

function addEntryGauges (metrics: Metrics, entry: Entry, server: HttpServer): void {
  metrics.addGauge('fuchsiatally_http_in_flight', 'HTTP requests in flight', server.countInFlight)
  metrics.addGauge('fuchsiatally_config_version', 'Version of the configuration in force', entry.config.readVersion)
  metrics.addGauge('fuchsiatally_session_valid', '1 while this entry has a valid session', () => entry.sessions.isValid() ? 1 : 0)
  metrics.addGauge('fuchsiatally_requests_open', 'Requests of callers and peers in flight', entry.requests.countOpen)
}

/** Waits until the HTTP interface has answered everything, at most until the deadline. */
async function waitForCallers (server: HttpServer, deadlineMs: number): Promise<boolean> {
  while (server.countInFlight() > 0) {
    if (performance.now() > deadlineMs) return false
    await new Promise((resolve) => setTimeout(resolve, STOP_POLL_MS))
  }
  return true
}

/** Resolves with `true` if `work` ends before the deadline. */
async function isDoneBefore (work: Promise<unknown>, deadlineMs: number): Promise<boolean> {
  const overdue = new Promise<false>((resolve) => {
    setTimeout(() => { resolve(false) }, Math.max(0, deadlineMs - performance.now())).unref()
  })
  return await Promise.race([work.then(() => true as const), overdue])
}

async function stopEntry (entry: Entry, server: HttpServer, settings: ResolvedSettings, events: FollowableEventLog): Promise<void> {
  events.record(processStopping, { entry: settings.entry, inFlight: server.countInFlight() })
  const deadlineMs = performance.now() + settings.limits.shutdownMs
  const drained = await isDoneBefore(entry.drain(), deadlineMs)
  const answered = await waitForCallers(server, deadlineMs)
  if (!drained || !answered) events.record(stopOverdue, { inFlight: server.countInFlight() })
  await entry.release()
  events.record(processStopped, { entry: settings.entry })
}

/**
 * Runs an entry until a signal or until another process takes its name.
 * The scope holds every socket; closing it releases them in reverse order.
 */
export function runEntry (settings: ResolvedSettings): Effect.Effect<RunResult, never, Scope.Scope> {
  return Effect.gen(function * () {
    const clock = createSystemClock()
    const random = createSystemRandom()
    const metrics = yield * Effect.acquireRelease(Effect.sync(createMetrics), (held) => Effect.sync(held.dispose))
    const events = createCountedLog(settings, metrics)
    const waiter = createStopWaiter()
    const incarnation = randomBytes(INCARNATION_BYTES).toString('base64url')
    const self = { entry: settings.entry, incarnation, failureDomain: settings.failureDomain }
    const http = parseAddress(settings.httpAddress)
    const link = parseAddress(settings.linkAddress)
    const platform = yield * Effect.acquireRelease(
      Effect.sync(() => createHttpPlatformClient({ address: settings.platformAddress, clock, random, events })),
      (held) => Effect.sync(held.dispose)
    )
    const endpoints = yield * Effect.acquireRelease(
      Effect.sync(() => createHttpEndpointClient({ clock })), (held) => Effect.sync(held.dispose)
    )
    let entry: Entry | null = null
    const mesh = yield * Effect.acquireRelease(
      Effect.sync(() => createPeerMesh({
        self,
        host: link.host,
        port: link.port,
        clock,
        random,
        log: events,
        listSessions: () => entry?.sessions.listSessions() ?? [],
        buildHeartbeat: () => entry?.buildHeartbeat() ?? { leaving: false, slots: [], configVersion: 0, deniedKeyIds: [], allotmentDemand: [] },
        maxFrameBytes: settings.limits.maxFrameBytes,
        maxSendBufferBytes: settings.limits.maxLinkBufferBytes
      })),
      (held) => Effect.promise(held.stop)
    )
    const listening = yield * Effect.promise(mesh.start)
    if (listening.isErr()) {
      events.record(startFailed, { option: 'linkAddress', reason: listening.error.message, mend: 'choose a free address of this VM' })
      return 'startFailed' as const
    }
    const server = yield * Effect.promise(() => createHttpServer({
      host: http.host, port: http.port, routes: [], events, maxConnections: settings.limits.maxConnections, requestReadMs: settings.limits.requestReadMs, maxBodyBytes: settings.limits.maxBodyBytes
    }).catch((error: unknown) => {
      events.record(startFailed, { option: 'httpAddress', reason: String(error), mend: 'choose a free address of this VM' })
      return null
    }))
    if (server === null) return 'startFailed' as const
    const running = createEntry({
      clock,
      random,
      events,
      platform,
      mesh,
      endpoints,
      createWorkerClient: (address) => createHttpWorkerClient(address, { clock, log: events })
    }, {
      ...self,
      cell: settings.cell,
      httpAddress: server.address,
      linkAddress: listening.value,
      operatorKeySha256: settings.operatorKeySha256,
      outageToleranceMs: settings.outageToleranceMs,
      onLost: waiter.stopLost
    })
    entry = running
    addEntryGauges(metrics, running, server)
    server.addRoutes([
      ...running.routes,
      ...createStatusRoutes({ keyRing: running.keyRing, events, metrics, findUnreadyReason: running.findUnreadyReason })
    ])
    running.start()
    events.record(processStarted, { ...self, httpAddress: server.address, linkAddress: listening.value })
    const cause = yield * Effect.promise(() => waiter.cause)
    yield * Effect.promise(() => stopEntry(running, server, settings, events))
    yield * Effect.promise(server.stop)
    return cause === 'lost' ? 'lost' as const : 'stopped' as const
  })
}
