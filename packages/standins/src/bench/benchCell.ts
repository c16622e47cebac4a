/** Benchmark cells: the workers, teams and workload mix of each deployment. */
import type { Manifest, Resources, SchedulerWorker } from '@fuchsiatally/core'

/** Share and demand of a team. */
export interface BenchTeam {
  readonly name: string
  readonly share: number
  /** Total demand, as a multiple of the team's fraction of capacity at load 1. */
  readonly demand: number
  /** Fraction of the simulated time after which its first job arrives. */
  readonly startFraction: number
}

/** A deployment of a given size. */
export interface BenchCell {
  readonly name: string
  readonly workers: readonly SchedulerWorker[]
  readonly teams: readonly BenchTeam[]
  readonly durationMs: number
  /** UTC minute of day at which the simulation starts; it ends together with the share window. */
  readonly startMinute: number
  /** Mean declared run time of a task, in milliseconds. */
  readonly meanRunMs: number
  /** Fraction of processors used by services. */
  readonly serviceFraction: number
  /** Fraction of jobs that are urgent. */
  readonly urgentFraction: number
  /** Fraction of jobs that are gangs. */
  readonly gangFraction: number
  /** Maximum number of tasks of a batch job. */
  readonly maxBatchTasks: number
}

const MS_PER_HOUR = 3_600_000

interface WorkerGroup { readonly pool: string, readonly count: number, readonly capacity: Resources }

function createWorkers (groups: readonly WorkerGroup[], domainCount: number, racksPerDomain: number): SchedulerWorker[] {
  const workers: SchedulerWorker[] = []
  for (const { pool, count, capacity } of groups) {
    for (let number = 0; number < count; number++) {
      const failureDomain = `domain-${number % domainCount}`
      const rack = `rack-${Math.floor(number / domainCount) % racksPerDomain}`
      workers.push({ id: `${pool}-${number}`, failureDomain, rack, pool, capacity, schedulable: true })
    }
  }
  return workers
}

const PLAIN_CAPACITY: Resources = { processors: 16, memoryMb: 65_536, accelerators: 0 }
const VIDEO_CAPACITY: Resources = { processors: 64, memoryMb: 131_072, accelerators: 8 }
const COVERS_CAPACITY: Resources = { processors: 32, memoryMb: 65_536, accelerators: 8 }

/** Six client accounts of different shares: one demands twice its share, one starts late and one demands less than its share. */
const SIX_TEAMS: readonly BenchTeam[] = [
  { name: 'large', share: 4, demand: 1, startFraction: 0 },
  { name: 'greedy', share: 3, demand: 2, startFraction: 0 },
  { name: 'late', share: 2, demand: 1, startFraction: 0.3 },
  { name: 'steady', share: 1, demand: 1, startFraction: 0 },
  { name: 'modest', share: 1, demand: 0.4, startFraction: 0 },
  { name: 'small', share: 1, demand: 1, startFraction: 0 }
]

/** Creates a cell modelled on Tancopár, which is simulated for an evening of four hours. */
export function createEveningCell (): BenchCell {
  const groups = [{ pool: 'matching', count: 24, capacity: PLAIN_CAPACITY }, { pool: 'video', count: 9, capacity: VIDEO_CAPACITY }]
  return {
    name: 'evening',
    workers: createWorkers(groups, 4, 3),
    teams: SIX_TEAMS,
    durationMs: 4 * MS_PER_HOUR,
    startMinute: 18 * 60,
    meanRunMs: 60_000,
    serviceFraction: 0.2,
    urgentFraction: 0.05,
    gangFraction: 0.1,
    maxBatchTasks: 12
  }
}

/** Creates a cell modelled on Dalisay, which is simulated for a night of ten hours. */
export function createNightCell (): BenchCell {
  const groups = [{ pool: 'pages', count: 24, capacity: PLAIN_CAPACITY }, { pool: 'covers', count: 10, capacity: COVERS_CAPACITY }]
  return {
    name: 'night',
    workers: createWorkers(groups, 3, 4),
    teams: SIX_TEAMS,
    durationMs: 10 * MS_PER_HOUR,
    startMinute: 20 * 60,
    meanRunMs: 480_000,
    serviceFraction: 0.1,
    urgentFraction: 0.02,
    gangFraction: 0.2,
    maxBatchTasks: 40
  }
}

/** Creates the cell projected for two years ahead, scaled to `workerCount`, for `durationMs` of its peak hours. */
export function createTwoYearCell (workerCount: number, durationMs: number): BenchCell {
  const acceleratedCount = Math.round(workerCount * 0.24)
  const groups = [
    { pool: 'plain', count: workerCount - acceleratedCount, capacity: PLAIN_CAPACITY },
    { pool: 'accelerated', count: acceleratedCount, capacity: COVERS_CAPACITY }
  ]
  const teamCount = Math.max(4, Math.round(workerCount * 130 / 990))
  const teams = Array.from({ length: teamCount }, (_, number) => ({
    name: `team-${number}`, share: 1 + number % 4, demand: number % 5 === 0 ? 2 : 1, startFraction: number % 7 === 3 ? 0.3 : 0
  }))
  return {
    name: `twoYears-${workerCount}`,
    workers: createWorkers(groups, 8, Math.max(1, Math.round(workerCount / 8 / 12))),
    teams,
    durationMs,
    startMinute: 3 * 60,
    meanRunMs: 120_000,
    serviceFraction: 0.2,
    urgentFraction: 0.02,
    gangFraction: 0.1,
    maxBatchTasks: 40
  }
}

/** Computes the total capacity of the workers. */
export function computeCapacity (workers: readonly SchedulerWorker[]): Resources {
  let processors = 0
  let memoryMb = 0
  let accelerators = 0
  for (const { capacity } of workers) {
    processors += capacity.processors
    memoryMb += capacity.memoryMb
    accelerators += capacity.accelerators
  }
  return { processors, memoryMb, accelerators }
}

/** Creates the manifest of a cell, with a share window that ends together with the simulation. */
export function createBenchManifest (cell: BenchCell): Manifest {
  const lengthMinutes = cell.durationMs / 60_000
  const resources = { processors: 1e6, memoryMb: 1e9, accelerators: 1e5 }
  return {
    cell: 'bench',
    shareWindow: { endMinuteOfDay: Math.ceil(cell.startMinute + lengthMinutes) % 1440, lengthMinutes: Math.ceil(lengthMinutes) },
    teams: cell.teams.map(({ name, share }) => ({
      name,
      share,
      ceiling: { resources, requests: 0 },
      limits: { queuedRequests: 1, requestsPerS: 1, activeJobs: 1_000_000 },
      open: false,
      whenCut: 'serve',
      keys: []
    })),
    services: []
  }
}
