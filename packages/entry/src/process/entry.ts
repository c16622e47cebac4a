/** One entry, put together from its parts over the interfaces to the outside. */
import {
  createCellScheduler, createDisposableStore, findNeverFits,
  type Clock, type EventLog, type JobSpec, type Random, type RequestOutcome, type SchedulerWorker, type Team
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import { createConfigStore, type ConfigStoreHandle } from '../contract/configStore.js'
import { createKeyRing, type KeyRingHandle } from '../contract/keyRing.js'
import { createSessions, type SessionService } from '../failureDomain/sessions.js'
import { createConfigRoutes } from '../http/configRoutes.js'
import { createKeyRoutes } from '../http/keyRoutes.js'
import type { Route } from '../http/route.js'
import { createTeamRoutes } from '../http/teamRoutes.js'
import { createVmRoutes } from '../http/vmRoutes.js'
import { createJobAdmission, type JobAdmission } from '../job/jobAdmission.js'
import { createJobRoutes } from '../job/jobRoutes.js'
import { createJobService, type JobService } from '../job/jobService.js'
import { computeTaskCapacity } from '../job/schedulerTask.js'
import { createShareRoutes } from '../job/shareRoutes.js'
import type { HeartbeatContents } from '../link/peerMesh.js'
import type { EndpointClient, PeerMesh, WorkerClientFactory } from '../ports.js'
import { createRequestService, type RequestService } from '../request/requestService.js'
import { createOwnership, type Ownership } from '../vm/ownership.js'
import { createWorkerLiaison } from '../vm/workerLiaison.js'

/** How long a new entry waits for a link or a worker before it takes callers without any, in milliseconds. */
const SETTLE_MS = 5000

/** What an entry needs from the outside. */
export interface EntryPorts {
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  readonly platform: PlatformClient
  readonly mesh: PeerMesh
  readonly createWorkerClient: WorkerClientFactory
  readonly endpoints: EndpointClient
  /** Called with each final outcome of a caller's request and its time in milliseconds. Default: nothing. */
  readonly onRequestOutcome?: (kind: RequestOutcome['kind'], elapsedMs: number) => void
}

/** Identity and limits of an entry. */
export interface EntryOptions {
  readonly entry: string
  readonly incarnation: string
  readonly failureDomain: string
  readonly cell: string
  readonly httpAddress: string
  readonly linkAddress: string
  readonly operatorKeySha256: string
  readonly outageToleranceMs: number
  /** Runs when another process took this entry's name: this one must stop. */
  readonly onLost: () => void
}

/** An entry without its sockets. */
export interface Entry {
  readonly sessions: SessionService
  readonly config: ConfigStoreHandle
  readonly keyRing: KeyRingHandle
  readonly jobs: JobService
  readonly admission: JobAdmission
  readonly requests: RequestService
  readonly ownership: Ownership
  readonly routes: readonly Route[]
  /** Begins to take part. */
  start: () => void
  /** Contents of the next heartbeat to the peers. */
  buildHeartbeat: () => HeartbeatContents
  /** Why the balancer shall send no callers here, or `null`. */
  findUnreadyReason: () => string | null
  /** First half of a planned stop: nothing new is taken on; returns when nothing is in flight. */
  drain: () => Promise<void>
  /** Second half: hands over workers, role and session. */
  release: () => Promise<void>
  /** Stops all activity at once, as the end of the process would. */
  dispose: () => void
}

/** Puts an entry together; nothing is sent before `start`. */
export function createEntry (ports: EntryPorts, options: EntryOptions): Entry {
  const { clock, random, events, platform, mesh } = ports
  const store = createDisposableStore()
  let leaving = false
  let startedMs = Infinity
  let isSettled = false

  const config = store.add(createConfigStore({ clock, random, platform, mesh, log: events }))
  const keyRing = store.add(createKeyRing({ config, operatorKeySha256: options.operatorKeySha256, log: events }))
  const sessions = createSessions({
    ...options, platform, clock, random, log: events, readConfigVersion: config.readVersion
  })
  const ownership = createOwnership({ sessions, cellKey: `cell/${options.cell}`, platform, clock, random, log: events })
  const jobs = store.add(createJobService({
    cell: options.cell,
    platform,
    sessions,
    mesh,
    config,
    clock,
    random,
    events,
    createScheduler: createCellScheduler,
    listVms: ownership.listVms,
    handleDesired: (message, from) => { liaison.handleDesired(message, from) },
    isLeaving: () => leaving
  }))
  const liaison = store.add(createWorkerLiaison({
    sessions,
    clock,
    random,
    log: events,
    mesh,
    ownership,
    createClient: ports.createWorkerClient,
    outageToleranceMs: options.outageToleranceMs,
    readCellEpoch: ownership.readCellEpoch,
    findScheduler: jobs.findScheduler,
    onObserved: (message) => { jobs.recordObserved(message, sessions.incarnation) },
    isDrained: (worker) => config.readDocument()?.drainedVms.includes(worker) ?? false
  }))
  const requests = store.add(createRequestService({
    clock,
    random,
    mesh,
    workers: liaison,
    endpoints: ports.endpoints,
    keys: keyRing,
    config,
    sessions,
    platform,
    log: events,
    isFenced: ownership.isFenced,
    ...(ports.onRequestOutcome === undefined ? {} : { onOutcome: ports.onRequestOutcome })
  }))

  const listSchedulerWorkers = (): SchedulerWorker[] => {
    const document = config.readDocument()
    if (document === null) return []
    return ownership.listVms().filter((vm) => vm.state !== 'gone').map((vm) => ({
      id: vm.id, failureDomain: vm.failureDomain, rack: vm.rack, pool: vm.pool, capacity: computeTaskCapacity(vm, document), schedulable: true
    }))
  }

  const findRefusalReason = (spec: JobSpec, team: Team): string | null => {
    return findCeilingFault(spec, team) ?? findNeverFits(spec, listSchedulerWorkers())?.message ?? null
  }

  const admission = createJobAdmission({
    platform, clock, random, events, findNeverFits: findRefusalReason, sendJobsChanged: jobs.sendJobsChanged
  })

  mesh.onMessage('heartbeat', (heartbeat, from) => {
    config.handleHeartbeat(from, heartbeat.configVersion, heartbeat.deniedKeyIds)
    requests.recordHeartbeat(from, heartbeat)
  })

  const operatorOptions = { keyRing, config, log: events }
  return {
    sessions,
    config,
    keyRing,
    jobs,
    admission,
    requests,
    ownership,
    routes: [
      ...requests.routes,
      ...createJobRoutes({ keyRing, admission, service: jobs }),
      ...createShareRoutes({ keyRing, service: jobs }),
      ...createConfigRoutes({ ...operatorOptions, sessions, cell: options.cell }),
      ...createKeyRoutes({ ...operatorOptions, random }),
      ...createTeamRoutes(operatorOptions),
      ...createVmRoutes({ ...operatorOptions, platform })
    ],
    start: () => {
      startedMs = clock.nowMs()
      sessions.start()
      ownership.start(liaison)
    },
    buildHeartbeat: () => ({
      leaving,
      slots: requests.listFreeSlots(),
      configVersion: config.readVersion(),
      deniedKeyIds: config.listDeniedKeyIds(),
      allotmentDemand: requests.listAllotmentDemand()
    }),
    findUnreadyReason: () => {
      if (leaving) return 'a planned stop has begun'
      if (startedMs === Infinity) return 'starting'
      if (config.readDocument() === null) return 'no configuration yet'
      // Only at the start: later an entry without links is cut off and goes on serving what it can.
      isSettled ||= clock.nowMs() - startedMs >= SETTLE_MS || mesh.listPeers().length > 0 || liaison.listOwnedWorkers().length > 0
      return isSettled ? null : 'no link to another entry and no worker yet'
    },
    drain: async () => {
      leaving = true
      sessions.setLeaving()
      await jobs.release()
      await requests.drain()
    },
    release: async () => {
      await ownership.stop(true)
      await sessions.stop(true)
      store.dispose()
    },
    dispose: () => {
      store.dispose()
      ownership.stop(false).catch(() => {})
      sessions.stop(false).catch(() => {})
    }
  }
}

/** Names the resource of a team's ceiling that a job can never keep within, or `null`. */
function findCeilingFault (spec: JobSpec, team: Team): string | null {
  const members = spec.kind === 'gang' ? spec.taskCount : 1
  for (const name of ['processors', 'memoryMb', 'accelerators'] as const) {
    const needed = spec.resources[name] * members
    const allowed = team.ceiling.resources[name]
    if (needed > allowed) {
      return `${members} tasks at once need ${needed} ${name}, and the ceiling of team ${team.name} is ${allowed}; lower resources.${name} or taskCount, or ask an operator for a higher ceiling`
    }
  }
  return null
}
