/** In-memory cluster of request services, one per entry, over fake links, platform and endpoints. */
import { type ConfigDocument, type RequestOutcome, type Team } from '@fuchsiatally/core'
import { createFakeClock, type FakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog, type MemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { createFakePlatform } from '@fuchsiatally/table/testing/fakePlatform'
import { createPlatformFaults, type PlatformFaults } from '@fuchsiatally/table/testing/platformFaults'
import { createTableModel } from '@fuchsiatally/table/testing/tableModel'
import { err, ok } from 'neverthrow'
import type { HttpResponse } from '../http/route.js'
import type { OwnedWorker, Peer, SessionView } from '../ports.js'
import { createRequestService, type RequestService } from '../request/requestService.js'
import { createFakeEndpoints, type FakeEndpoints } from './fakeEndpoints.js'
import { createFakeMesh, type FakeMesh } from './fakeMesh.js'

export interface RequestClusterOptions {
  /** Failure domain of each entry. */
  readonly domains: readonly string[]
  readonly workersPerEntry: number
  readonly teams: readonly Team[]
  readonly seed: number
  /** Timeout of an exchange, in milliseconds; default 2000. */
  readonly timeoutMs?: number
}

/** Parameters of one request of a caller. */
export interface CallOptions {
  readonly team: string
  readonly method?: string
  readonly body?: string
  readonly headers?: Record<string, string>
  readonly signal?: AbortSignal
}

export interface RequestClusterEntry {
  readonly name: string
  readonly service: RequestService
  readonly log: MemoryEventLog
  /** Set once the entry was killed by `killEntry`. */
  dead: boolean
}

/** Entries with the controls of a test. */
export interface RequestCluster {
  readonly clock: FakeClock
  readonly mesh: FakeMesh
  readonly endpoints: FakeEndpoints
  readonly faults: PlatformFaults
  readonly entries: readonly RequestClusterEntry[]
  /** Sends a request to one entry; never resolves if the entry is killed first. */
  sendRequest: (entry: number, options: CallOptions) => Promise<HttpResponse>
  sendTicketRequest: (entry: number, team: string) => Promise<string>
  /** Kills an entry without a shutdown: it sends and receives nothing more. */
  killEntry: (entry: number) => void
  /** Changes a team's request ceiling by a new configuration that all entries receive at once. */
  setCeiling: (team: string, requests: number) => void
  /** Makes the other entries see the session as expired although the entry keeps running; it is never fenced. */
  setExpired: (entry: number) => void
  /** Sets whether the workers of an entry are in contact with it; true by default. */
  setContact: (entry: number, hasContact: boolean) => void
  dispose: () => void
}

const HEARTBEAT_INTERVAL_MS = 250
/** Session expiry and fencing take less than the exchange timeout, so that the exchanges of a killed entry outlive its fencing. */
const SESSION_EXPIRY_MS = 1000
const FENCE_DELAY_MS = 1200
const NO_RESOURCES = { processors: 0, memoryMb: 0, accelerators: 0 }

/** Builds a team with generous limits. */
export function createTeam (name: string, requests: number, change: Partial<Team> = {}): Team {
  return {
    name,
    share: 1,
    ceiling: { resources: NO_RESOURCES, requests },
    limits: { queuedRequests: 1000, requestsPerS: 10_000, activeJobs: 10 },
    open: false,
    whenCut: 'serve',
    keys: [],
    ...change
  }
}

/** Reads the outcome from the response headers. */
export function readOutcome (response: HttpResponse): RequestOutcome['kind'] {
  const outcome = response.headers['fuchsiatally-outcome']
  return outcome === 'completed' ? 'completed' : outcome === 'not_run' ? 'notRun' : 'unknown'
}

/** Starts the entries; links are up and allotments acquired after about a second. */
export function createRequestCluster (options: RequestClusterOptions): RequestCluster {
  const clock = createFakeClock()
  const random = createSeededRandom(options.seed)
  const mesh = createFakeMesh({ clock })
  const endpoints = createFakeEndpoints(clock)
  const faults = createPlatformFaults()
  const model = createTableModel()
  const stoppedAtMs = new Map<string, number>()
  const expired = new Set<string>()
  const contact = options.domains.map(() => true)
  const listeners = new Set<(document: ConfigDocument) => void>()
  let document: ConfigDocument = {
    version: 1,
    manifest: {
      cell: 'cell',
      shareWindow: { endMinuteOfDay: 0, lengthMinutes: 60 },
      teams: [...options.teams],
      services: [{
        name: 'pages',
        pool: 'pages',
        slotsPerRunner: 8,
        connectionsPerRunner: 64,
        timeoutMs: options.timeoutMs ?? 2000,
        maxBodyBytes: 1_000_000,
        reserve: NO_RESOURCES
      }]
    },
    grants: [],
    revokedKeyIds: [],
    drainedVms: []
  }

  const hasBeenStoppedFor = (incarnation: string, ms: number): boolean =>
    clock.nowMs() - (stoppedAtMs.get(incarnation) ?? Infinity) >= ms

  const isGone = (incarnation: string): boolean => expired.has(incarnation) || hasBeenStoppedFor(incarnation, SESSION_EXPIRY_MS)

  const listSessions = (): SessionView[] => options.domains.map((failureDomain, index) => ({
    entry: `e${index}`,
    incarnation: `i${index}`,
    failureDomain,
    linkAddress: '',
    httpAddress: '',
    leaving: false,
    configVersion: document.version,
    expired: isGone(`i${index}`)
  }))

  const listWorkers = (index: number): OwnedWorker[] =>
    Array.from({ length: options.workersPerEntry }, (_, worker) => ({
      id: `w${index}-${worker}`,
      epoch: 1,
      rack: `r${worker}`,
      hasContact: contact[index]!,
      leaving: false,
      runners: [{ service: 'pages', address: `w${index}-${worker}:1`, busy: 0 }]
    }))

  const createEntry = (failureDomain: string, index: number): RequestClusterEntry & { stop: () => void } => {
    const incarnation = `i${index}`
    const peerMesh = mesh.addEntry({ entry: `e${index}`, incarnation, failureDomain })
    const log = createMemoryEventLog()
    const client = endpoints.createClient()
    const platform = createFakePlatform({ model, clock, random, sharedFaults: faults })
    const service = createRequestService({
      clock,
      random,
      mesh: peerMesh,
      workers: { listOwnedWorkers: () => listWorkers(index) },
      endpoints: client,
      keyRing: {
        checkTeam: async (_, team) => {
          const found = document.manifest.teams.find((other) => other.name === team)
          return found === undefined ? err('unauthorized') : ok(found)
        },
        isOperator: () => false
      },
      config: {
        readDocument: () => document,
        onChange: (receive) => {
          listeners.add(receive)
          return { dispose: () => listeners.delete(receive) }
        }
      },
      sessions: {
        entry: `e${index}`,
        incarnation,
        failureDomain,
        isValid: () => true,
        readLastRenewalMs: () => clock.nowMs(),
        listSessions,
        isGone
      },
      platform,
      log,
      isFenced: (other) => hasBeenStoppedFor(other, FENCE_DELAY_MS)
    })
    const sendHeartbeat = (): void => {
      if (entry.dead) return
      peerMesh.broadcastMessage({
        type: 'heartbeat',
        sequence: 0,
        leaving: false,
        slots: service.listFreeSlots(),
        configVersion: document.version,
        deniedKeyIds: [],
        allotmentDemand: service.listAllotmentDemand()
      })
      clock.setTimer(HEARTBEAT_INTERVAL_MS, sendHeartbeat)
    }
    peerMesh.onMessage('heartbeat', (message, from: Peer) => service.recordHeartbeat(from, message))
    clock.setTimer(1, sendHeartbeat)
    const entry = {
      name: `e${index}`,
      service,
      log,
      dead: false,
      stop: () => {
        entry.dead = true
        stoppedAtMs.set(incarnation, clock.nowMs())
        client.dispose()
        service.dispose()
        peerMesh.dispose()
        // A killed process sends no transactions either.
        platform.faults.outage = true
      }
    }
    return entry
  }

  const entries = options.domains.map(createEntry)

  const runRoute = async (entry: number, method: string, path: string, call: CallOptions): Promise<HttpResponse> => {
    const route = entries[entry]!.service.routes.find((other) =>
      other.method === method && path.startsWith(other.pattern.replace(':service/*', '')))!
    const response = await route.handle({
      method,
      path,
      query: new URLSearchParams(),
      headers: { 'fuchsiatally-team': call.team, ...call.headers },
      body: Buffer.from(call.body ?? ''),
      signal: call.signal ?? new AbortController().signal
    }, { service: 'pages' })
    return entries[entry]!.dead ? await new Promise<HttpResponse>(() => {}) : response
  }

  return {
    clock,
    mesh,
    endpoints,
    faults,
    entries,
    sendRequest: async (entry, call) => await runRoute(entry, call.method ?? 'POST', '/v1/services/pages/proof', call),
    sendTicketRequest: async (entry, team) => {
      const response = await runRoute(entry, 'POST', '/v1/tickets', { team })
      return JSON.parse(Buffer.from(response.body as Uint8Array).toString()).ticket
    },
    killEntry: (entry) => { if (!entries[entry]!.dead) entries[entry]!.stop() },
    setCeiling: (team, requests) => {
      const teams = document.manifest.teams.map((other) =>
        other.name === team ? { ...other, ceiling: { ...other.ceiling, requests } } : other)
      document = { ...document, version: document.version + 1, manifest: { ...document.manifest, teams } }
      for (const receive of listeners) receive(document)
    },
    setExpired: (entry) => { expired.add(`i${entry}`) },
    setContact: (entry, hasContact) => { contact[entry] = hasContact },
    dispose: () => { for (const entry of entries) entry.stop() }
  }
}
