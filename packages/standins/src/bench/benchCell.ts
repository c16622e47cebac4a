/** Cells of the bench: workers, teams and the mix of work that each deployment sees. */
import type { Manifest, Resources, SchedulerWorker } from '@fuchsiatally/core'

/** What a team asks for. */
export interface BenchTeam {
  readonly name: string
  readonly share: number
  /** Demand over the run, as a multiple of the team's part of capacity at load 1. */
  readonly demand: number
  /** Part of the run after which its first job arrives. */
  readonly startsAt: number
}

/** One deployment at one size. */
export interface BenchCell {
  readonly name: string
  readonly workers: readonly SchedulerWorker[]
  readonly teams: readonly BenchTeam[]
  readonly durationMs: number
  /** UTC minute of day at which the run starts; it ends with the share window. */
  readonly startMinute: number
  /** Mean declared run time of a task, in milliseconds. */
  readonly meanRunMs: number
  /** Part of processors that services take. */
  readonly servicePart: number
  /** Part of jobs that are urgent. */
  readonly urgentPart: number
  /** Part of the work that is done in gangs. */
  readonly gangPart: number
  /** Most tasks of one batch job. */
  readonly batchTasks: number
}

const HOUR_MS = 3_600_000

interface Group { readonly pool: string, readonly count: number, readonly capacity: Resources }

function createWorkers (groups: readonly Group[], domains: number, racksPerDomain: number): SchedulerWorker[] {
  const workers: SchedulerWorker[] = []
  for (const { pool, count, capacity } of groups) {
    for (let number = 0; number < count; number++) {
      const failureDomain = `domain-${number % domains}`
      const rack = `rack-${Math.floor(number / domains) % racksPerDomain}`
      workers.push({ id: `${pool}-${number}`, failureDomain, rack, pool, capacity, schedulable: true })
    }
  }
  return workers
}

const PLAIN: Resources = { processors: 16, memoryMb: 65_536, accelerators: 0 }
const VIDEO: Resources = { processors: 64, memoryMb: 131_072, accelerators: 8 }
const COVERS: Resources = { processors: 32, memoryMb: 65_536, accelerators: 8 }

/** Six client accounts, a few of them large: one asks for far more than its share, one comes late, one needs little. */
const SIX_TEAMS: readonly BenchTeam[] = [
  { name: 'large', share: 4, demand: 1, startsAt: 0 },
  { name: 'greedy', share: 3, demand: 2, startsAt: 0 },
  { name: 'late', share: 2, demand: 1, startsAt: 0.3 },
  { name: 'steady', share: 1, demand: 1, startsAt: 0 },
  { name: 'modest', share: 1, demand: 0.4, startsAt: 0 },
  { name: 'small', share: 1, demand: 1, startsAt: 0 }
]

/** Tancopár: four hours of an evening. */
export function createEvening (): BenchCell {
  const groups = [{ pool: 'matching', count: 24, capacity: PLAIN }, { pool: 'video', count: 9, capacity: VIDEO }]
  return {
    name: 'evening',
    workers: createWorkers(groups, 4, 3),
    teams: SIX_TEAMS,
    durationMs: 4 * HOUR_MS,
    startMinute: 18 * 60,
    meanRunMs: 60_000,
    servicePart: 0.2,
    urgentPart: 0.05,
    gangPart: 0.1,
    batchTasks: 12
  }
}

/** Dalisay: ten hours of a night. */
export function createNight (): BenchCell {
  const groups = [{ pool: 'pages', count: 24, capacity: PLAIN }, { pool: 'covers', count: 10, capacity: COVERS }]
  return {
    name: 'night',
    workers: createWorkers(groups, 3, 4),
    teams: SIX_TEAMS,
    durationMs: 10 * HOUR_MS,
    startMinute: 20 * 60,
    meanRunMs: 480_000,
    servicePart: 0.1,
    urgentPart: 0.02,
    gangPart: 0.2,
    batchTasks: 40
  }
}

/** The size expected in two years, scaled to a number of workers; `durationMs` of its busiest time. */
export function createTwoYears (workerCount: number, durationMs: number): BenchCell {
  const accelerated = Math.round(workerCount * 0.24)
  const groups = [
    { pool: 'plain', count: workerCount - accelerated, capacity: PLAIN },
    { pool: 'accelerated', count: accelerated, capacity: COVERS }
  ]
  const teamCount = Math.max(4, Math.round(workerCount * 130 / 990))
  const teams = Array.from({ length: teamCount }, (_, number) => ({
    name: `team-${number}`, share: 1 + number % 4, demand: number % 5 === 0 ? 2 : 1, startsAt: number % 7 === 3 ? 0.3 : 0
  }))
  return {
    name: `twoYears-${workerCount}`,
    workers: createWorkers(groups, 8, Math.max(1, Math.round(workerCount / 8 / 12))),
    teams,
    durationMs,
    startMinute: 3 * 60,
    meanRunMs: 120_000,
    servicePart: 0.2,
    urgentPart: 0.02,
    gangPart: 0.1,
    batchTasks: 40
  }
}

/** Sums the capacity of the workers. */
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

/** The manifest of a cell; its window ends when the run does. */
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
