/** Deployments for the stand-ins: entries, workers, teams and services of one cell. */
import type { Manifest, Resources, Service, Team } from '@fuchsiatally/core'
import { createSystemRandom } from '@fuchsiatally/core/testing/systemClock'
import { createKey, type NewKey } from '@fuchsiatally/entry/contract/key'
import type { WorkerSpec } from './workerHost.js'

/** Description of a cell, from which `startCluster` starts its processes. */
export interface Deployment {
  readonly cell: string
  /** Failure domain of each entry. */
  readonly entryDomains: readonly string[]
  readonly workers: readonly WorkerSpec[]
  readonly manifest: Manifest
  /** API key of each team that has one, by team name. */
  readonly keys: ReadonlyMap<string, NewKey>
}

/** Workers of identical hardware. */
export interface PoolSpec {
  readonly name: string
  readonly count: number
  readonly resources: Resources
  /** Service that has a runner on each worker of the pool. */
  readonly service: string
}

export interface DeploymentOptions {
  readonly cell: string
  readonly domains: readonly string[]
  readonly entryCount: number
  readonly pools: readonly PoolSpec[]
  /** Teams with an API key, and their fair-share weights. */
  readonly teams: ReadonlyArray<{ readonly name: string, readonly share: number }>
  /** Ceiling of concurrent requests of each team; default 48. */
  readonly requestCeiling?: number
}

const GIB_MB = 1024
const RACKS_PER_DOMAIN = 2
/** Resources that each worker of a pool reserves for its runner. */
const RUNNER_RESERVE: Resources = { processors: 4, memoryMb: 8 * GIB_MB, accelerators: 0 }
const MAX_BODY_BYTES = 1024 * 1024

/** Builds a deployment; entries and workers are distributed round-robin over the failure domains. */
export function createDeployment (options: DeploymentOptions): Deployment {
  const { domains } = options
  const keys = new Map(options.teams.map(({ name }) => [name, createKey(createSystemRandom(), `${name}-1`)]))
  const teams = options.teams.map(({ name, share }) => createTeam(name, share, keys.get(name), options))
  teams.push({ ...createTeam('visitors', 1, undefined, options), open: true })
  return {
    cell: options.cell,
    entryDomains: Array.from({ length: options.entryCount }, (_, index) => domains[index % domains.length]!),
    workers: options.pools.flatMap((pool) => createWorkers(pool, options)),
    manifest: {
      cell: options.cell,
      shareWindow: { endMinuteOfDay: 360, lengthMinutes: 600 },
      teams,
      services: options.pools.map(createService)
    },
    keys
  }
}

function createWorkers (pool: PoolSpec, options: DeploymentOptions): WorkerSpec[] {
  return Array.from({ length: pool.count }, (_, index) => {
    const domain = options.domains[index % options.domains.length]!
    const rack = Math.floor(index / options.domains.length) % RACKS_PER_DOMAIN
    return {
      id: `${options.cell}-${pool.name}-${index}`,
      failureDomain: domain,
      rack: `${domain}-r${rack}`,
      pool: pool.name,
      resources: pool.resources,
      services: [pool.service]
    }
  })
}

function createService (pool: PoolSpec): Service {
  return {
    name: pool.service,
    pool: pool.name,
    slotsPerRunner: 8,
    connectionsPerRunner: 64,
    timeoutMs: 10_000,
    maxBodyBytes: MAX_BODY_BYTES,
    reserve: RUNNER_RESERVE
  }
}

function createTeam (name: string, share: number, key: NewKey | undefined, options: DeploymentOptions): Team {
  return {
    name,
    share,
    ceiling: {
      resources: { processors: 160, memoryMb: 640 * GIB_MB, accelerators: 24 },
      requests: options.requestCeiling ?? 48
    },
    limits: { queuedRequests: 64, requestsPerS: 200, activeJobs: 64 },
    open: false,
    whenCut: 'serve',
    keys: key === undefined ? [] : [key.grant]
  }
}

/** Creates the example deployment of Tancopár Labs: partner matching and scoring of rehearsal clips in four failure domains. */
export function createTancoparDeployment (): Deployment {
  return createDeployment({
    cell: 'tancopar',
    domains: ['ba-1', 'ba-2', 'ba-3', 'ba-4'],
    entryCount: 7,
    pools: [
      { name: 'matching', count: 24, resources: { processors: 16, memoryMb: 64 * GIB_MB, accelerators: 0 }, service: 'match' },
      { name: 'video', count: 9, resources: { processors: 64, memoryMb: 128 * GIB_MB, accelerators: 8 }, service: 'score' }
    ],
    teams: [{ name: 'schools', share: 3 }, { name: 'clubs', share: 2 }, { name: 'couples', share: 1 }]
  })
}

/** Creates the example deployment of Dalisay Diary Press: page proofs and cover renders in three failure domains. */
export function createDalisayDeployment (): Deployment {
  return createDeployment({
    cell: 'dalisay',
    domains: ['lz-1', 'lz-2', 'lz-3'],
    entryCount: 7,
    pools: [
      { name: 'pages', count: 24, resources: { processors: 16, memoryMb: 64 * GIB_MB, accelerators: 0 }, service: 'proof' },
      { name: 'covers', count: 10, resources: { processors: 32, memoryMb: 64 * GIB_MB, accelerators: 8 }, service: 'render' }
    ],
    teams: [{ name: 'parishes', share: 2 }, { name: 'booksellers', share: 2 }]
  })
}
