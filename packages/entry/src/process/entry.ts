/** Assembles an entry from its services, given the interfaces to the outside. */
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
import { computeTaskCapacity } from '../job/schedulerTerm.js'
import { createShareRoutes } from '../job/shareRoutes.js'
import type { HeartbeatContents } from '../link/peerMesh.js'
import type { EndpointClient, PeerMesh, WorkerClientFactory } from '../ports.js'
import { createRequestService, type RequestService } from '../request/requestService.js'
import { createOwnership, type Ownership } from '../vm/ownership.js'
import { createWorkerManager } from '../vm/workerManager.js'

/** Time for which a new entry waits for a link or a worker before it reports ready without any, in milliseconds. */
const STARTUP_GRACE_MS = 5000

/** Interfaces of an entry to the outside. */
export interface EntryPorts {
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  readonly platform: PlatformClient
  readonly mesh: PeerMesh
  readonly createWorkerClient: WorkerClientFactory
  readonly endpoints: EndpointClient
  /** Runs for the final outcome of each caller's request, with its duration in milliseconds. */
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
  /** Runs when another process has taken over this entry's name: this one must stop. */
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
  /** Joins the cell. */
  start: () => void
  /** Builds the contents of the next heartbeat to the peers. */
  buildHeartbeat: () => HeartbeatContents
  /** Reason why the load balancer should send no callers to this entry, or `null` if it is ready. */
  findUnreadyReason: () => string | null
  /** First phase of a graceful shutdown: releases the scheduler role, accepts no new work and resolves when nothing is in flight. */
  drain: () => Promise<void>
  /** Second phase: hands over the workers and deletes the session row. */
  release: () => Promise<void>
  /** Stops all activity at once, as a crash of the process would. */
  dispose: () => void
}

/** Creates an entry; it sends nothing before `start`. */
export function createEntry (ports: EntryPorts, options: EntryOptions): Entry {
  const { clock, random, events, platform, mesh } = ports
  const disposables = createDisposableStore()
  let leaving = false
  let startedAtMs = Infinity
  let isStartupOver = false

  const config = disposables.add(createConfigStore({ clock, random, platform, mesh, log: events }))
  const keyRing = disposables.add(createKeyRing({ config, operatorKeySha256: options.operatorKeySha256, log: events }))
  const sessions = createSessions({
    ...options, platform, clock, random, log: events, readConfigVersion: config.readVersion
  })
  const ownership = createOwnership({ sessions, cellKey: `cell/${options.cell}`, platform, clock, random, log: events })
  const jobs = disposables.add(createJobService({
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
    handleDesired: (message, from) => { workers.handleDesired(message, from) },
    isShuttingDown: () => leaving
  }))
  const workers = disposables.add(createWorkerManager({
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
  const requests = disposables.add(createRequestService({
    clock,
    random,
    mesh,
    workers,
    endpoints: ports.endpoints,
    keyRing,
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

  const findRejectionReason = (spec: JobSpec, team: Team): string | null => {
    return findCeilingViolation(spec, team) ?? findNeverFits(spec, listSchedulerWorkers())?.message ?? null
  }

  const admission = createJobAdmission({
    platform, clock, random, events, explainInfeasible: findRejectionReason, sendJobsChanged: jobs.sendJobsChanged
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
      startedAtMs = clock.nowMs()
      sessions.start()
      ownership.start(workers)
    },
    buildHeartbeat: () => ({
      leaving,
      slots: requests.listFreeSlots(),
      configVersion: config.readVersion(),
      deniedKeyIds: config.listDeniedKeyIds(),
      allotmentDemand: requests.listAllotmentDemand()
    }),
    findUnreadyReason: () => {
      if (leaving) return 'a graceful shutdown has begun'
      if (startedAtMs === Infinity) return 'starting'
      if (config.readDocument() === null) return 'no configuration yet'
      // Checked only during startup: an entry that loses its links later is isolated and continues to serve what it can.
      isStartupOver ||= clock.nowMs() - startedAtMs >= STARTUP_GRACE_MS || mesh.listPeers().length > 0 || workers.listOwnedWorkers().length > 0
      return isStartupOver ? null : 'no link to another entry and no worker yet'
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
      disposables.dispose()
    },
    dispose: () => {
      disposables.dispose()
      ownership.stop(false).catch(() => {})
      sessions.stop(false).catch(() => {})
    }
  }
}

/** Describes the resource in which a job can never fit the ceiling of its team, or returns `null`. */
function findCeilingViolation (spec: JobSpec, team: Team): string | null {
  const concurrentTasks = spec.kind === 'gang' ? spec.taskCount : 1
  for (const name of ['processors', 'memoryMb', 'accelerators'] as const) {
    const needed = spec.resources[name] * concurrentTasks
    const allowed = team.ceiling.resources[name]
    if (needed > allowed) {
      return `${concurrentTasks} tasks at once need ${needed} ${name}, and the ceiling of team ${team.name} is ${allowed}; lower resources.${name} or taskCount, or ask an operator for a higher ceiling`
    }
  }
  return null
}
