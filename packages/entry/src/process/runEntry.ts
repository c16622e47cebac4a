/** Life cycle of the process: opens the sockets, runs the entry and shuts it down gracefully. */
import { randomBytes } from 'node:crypto'
import * as Effect from 'effect/Effect'
import type * as Scope from 'effect/Scope'
import type { Clock, ResolvedSettings } from '@fuchsiatally/core'
import { createStatusRoutes } from '../http/statusRoutes.js'
import type { HeartbeatContents } from '../link/peerMesh.js'
import { createEventLog, type FollowableEventLog } from '../telemetry/eventLog.js'
import { createMetrics, type Metrics } from '../telemetry/metrics.js'
import { createTrafficMeter, type TrafficKind, type TrafficMeter } from '../telemetry/trafficMeter.js'
import { createHttpWorkerClient } from '../vm/httpWorkerClient.js'
import { createEntry, type Entry } from './entry.js'
import { processStarted, startFailed } from './events.js'
import { createShutdownWaiter, runGracefulShutdown } from './gracefulShutdown.js'
import { addToScope, openSockets, type ListenError, type Sockets } from './sockets.js'
import { createSystemClock, createSystemRandom } from './systemClock.js'

/** How the entry ended. */
export type EntryResult = 'stopped' | 'lost' | 'startFailed'

const INCARNATION_BYTES = 12
const EMPTY_HEARTBEAT: HeartbeatContents = { leaving: false, slots: [], configVersion: 0, deniedKeyIds: [], allotmentDemand: [] }

function resolveLogFormat (format: ResolvedSettings['log']['format']): 'json' | 'text' {
  if (format !== 'auto') return format
  return process.stdout.isTTY ? 'text' : 'json'
}

/** Creates a log that also counts each event in the metrics. */
function createCountingLog (settings: ResolvedSettings, clock: Clock, metrics: Metrics): FollowableEventLog {
  const log = createEventLog({ clock, level: settings.log.level, format: resolveLogFormat(settings.log.format) })
  return {
    ...log,
    record: (event, fields) => {
      metrics.countEvent(event, fields)
      log.record(event, fields)
    }
  }
}

/** Classifies the peer at an address to which this process has connected. */
function findTrafficKind (settings: ResolvedSettings, entry: Entry | null, address: string): TrafficKind {
  if (address === settings.platformAddress) return 'platform'
  for (const vm of entry?.ownership.listVms() ?? []) {
    if (vm.address === address) return 'worker'
    if (vm.runners.some((runner) => runner.address === address)) return 'endpoint'
  }
  const isLink = entry?.sessions.listSessions().some((session) => session.linkAddress === address) ?? false
  return isLink ? 'link' : 'other'
}

function addEntryMetrics (metrics: Metrics, meter: TrafficMeter, entry: Entry, sockets: Sockets): void {
  metrics.addTraffic(meter.listTraffic)
  metrics.addGauge('fuchsiatally_http_in_flight', 'HTTP requests in flight', sockets.server.countInFlight)
  metrics.addGauge('fuchsiatally_config_version', 'Version of the configuration in force', entry.config.readVersion)
  metrics.addGauge('fuchsiatally_session_valid', '1 while this entry has a valid session', () => entry.sessions.isValid() ? 1 : 0)
  metrics.addGauge('fuchsiatally_requests_open', 'Requests of callers and peers in flight', entry.requests.countOpen)
}

/** Runs an entry until a signal arrives or another process takes over its name. */
export function runEntry (settings: ResolvedSettings): Effect.Effect<EntryResult, never, Scope.Scope> {
  return Effect.gen(function * () {
    const clock = createSystemClock()
    const random = createSystemRandom()
    const metrics = yield * addToScope(createMetrics)
    const events = createCountingLog(settings, clock, metrics)
    const incarnation = randomBytes(INCARNATION_BYTES).toString('base64url')
    const self = { entry: settings.entry, incarnation, failureDomain: settings.failureDomain }
    let entry: Entry | null = null
    let linkPort = ''
    const meter = yield * addToScope(() => createTrafficMeter({
      findClientKind: (address) => findTrafficKind(settings, entry, address),
      findServerKind: (localPort) => String(localPort) === linkPort ? 'link' : 'caller'
    }))
    const opened = yield * Effect.result(openSockets({
      settings,
      self,
      clock,
      random,
      events,
      listSessions: () => entry?.sessions.listSessions() ?? [],
      buildHeartbeat: () => entry?.buildHeartbeat() ?? EMPTY_HEARTBEAT
    }))
    if (opened._tag === 'Failure') return recordListenError(events, opened.failure)
    const sockets = opened.success
    linkPort = sockets.linkAddress.slice(sockets.linkAddress.lastIndexOf(':') + 1)
    const waiter = createShutdownWaiter()
    const running = createEntry({
      ...sockets, clock, random, events, createWorkerClient: (address) => createHttpWorkerClient(address, { clock, log: events }), onRequestOutcome: metrics.recordRequest
    }, {
      ...self,
      cell: settings.cell,
      httpAddress: sockets.server.address,
      linkAddress: sockets.linkAddress,
      operatorKeySha256: settings.operatorKeySha256,
      outageToleranceMs: settings.outageToleranceMs,
      onLost: waiter.notifyNameLost
    })
    entry = running
    addEntryMetrics(metrics, meter, running, sockets)
    sockets.server.setExtraRoutes([
      ...running.routes,
      ...createStatusRoutes({ keyRing: running.keyRing, log: events, metrics, findUnreadyReason: running.findUnreadyReason })
    ])
    running.start()
    events.record(processStarted, { ...self, httpAddress: sockets.server.address, linkAddress: sockets.linkAddress })
    const cause = yield * Effect.promise(() => waiter.cause)
    yield * Effect.promise(() => runGracefulShutdown({
      entry: running, server: sockets.server, events, name: settings.entry, shutdownMs: settings.limits.shutdownMs
    }))
    return cause === 'lost' ? 'lost' as const : 'stopped' as const
  })
}

function recordListenError (events: FollowableEventLog, error: ListenError): EntryResult {
  events.record(startFailed, { option: error.option, reason: error.reason, mend: 'choose an unused address of this VM' })
  return 'startFailed'
}
