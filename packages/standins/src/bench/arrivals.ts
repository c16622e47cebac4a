/** Seeded generator of job arrivals, with the actual run time of every task. */
import type { JobRow, JobSpec, Resources } from '@fuchsiatally/core'
import { computeCapacity, type BenchCell, type BenchTeam } from './benchCell.js'
import type { BenchRandom } from './random.js'

/** One job submission. */
export interface JobArrival {
  readonly atMs: number
  readonly id: string
  readonly row: JobRow
  /** Actual run time of each task, in milliseconds. */
  readonly runMs: readonly number[]
  /** Every attempt of every task fails. */
  readonly alwaysFails: boolean
}

export interface ArrivalOptions {
  readonly cell: BenchCell
  /** Offered load, as a multiple of capacity. */
  readonly load: number
  /** Whether declared run times are up to ten times too long or too short. */
  readonly misdeclareRunTimes: boolean
  /** Fraction of jobs whose tasks always fail. */
  readonly failingJobFraction: number
  readonly random: BenchRandom
}

const PROCESSOR_CHOICES = [0.5, 1, 1, 2, 2, 4, 8]
const MEMORY_PER_PROCESSOR_MB = [1024, 2048, 3072, 4096, 6144]

/** Builds all arrivals of one simulation, ordered by time. */
export function buildArrivals (options: ArrivalOptions): JobArrival[] {
  const { cell } = options
  const capacity = computeCapacity(cell.workers)
  const arrivals = buildServiceArrivals(options, capacity)
  const demandSum = cell.teams.reduce((sum, team) => sum + team.share * team.demand, 0)
  for (const team of cell.teams) {
    const demandFraction = team.share * team.demand / demandSum
    addTeamArrivals(arrivals, options, team, demandFraction, capacity)
  }
  arrivals.sort((a, b) => a.atMs - b.atMs || (a.id < b.id ? -1 : 1))
  return arrivals
}

/** Builds services that run throughout the simulation; they do not depend on the load. */
function buildServiceArrivals (options: ArrivalOptions, capacity: Resources): JobArrival[] {
  const { cell } = options
  const arrivals: JobArrival[] = []
  let processors = capacity.processors * cell.serviceFraction
  for (let number = 0; processors > 0; number++) {
    const team = cell.teams[number % cell.teams.length]!
    const taskCount = Math.max(1, Math.min(24, Math.floor(processors / 2)))
    processors -= taskCount * 2
    const spec = { name: `service-${number}`, taskCount, resources: { processors: 2, memoryMb: 4096, accelerators: 0 } }
    arrivals.push(createArrival(options, team, `${team.name}-service-${number}`, 0, 'service', cell.durationMs * 10, spec))
  }
  return arrivals
}

/** Adds two job streams per team, processor jobs and accelerator jobs, each sized by the capacity of its resource. */
function addTeamArrivals (
  arrivals: JobArrival[], options: ArrivalOptions, team: BenchTeam, demandFraction: number, capacity: Resources
): void {
  const { cell, load } = options
  const seconds = cell.durationMs / 1000
  const processors = capacity.processors * (1 - cell.serviceFraction)
  // Accelerator jobs use one or two processors per accelerator, 1.5 on average.
  const acceleratorDemand = capacity.accelerators * 0.9
  addJobStream(arrivals, options, team, false, (processors - 1.5 * acceleratorDemand) * load * demandFraction * seconds)
  addJobStream(arrivals, options, team, true, acceleratorDemand * load * demandFraction * seconds)
}

function addJobStream (
  arrivals: JobArrival[], options: ArrivalOptions, team: BenchTeam, accelerated: boolean, targetWork: number
): void {
  const { cell, random } = options
  const jobs: JobArrival[] = []
  let work = 0
  for (let number = 0; work < targetWork; number++) {
    const id = `${team.name}-${accelerated ? 'a' : 'p'}-${String(number).padStart(5, '0')}`
    const atMs = cell.durationMs * (team.startFraction + random.nextFloat() * (0.95 - team.startFraction))
    const job = buildJob(options, team, id, atMs, accelerated)
    const { resources } = job.row.spec
    const unitsPerTask = accelerated ? resources.accelerators : resources.processors
    for (const runMs of job.runMs) work += unitsPerTask * runMs / 1000
    jobs.push(job)
  }
  arrivals.push(...jobs)
}

function buildJob (
  options: ArrivalOptions, team: BenchTeam, id: string, atMs: number, accelerated: boolean
): JobArrival {
  const { cell, random } = options
  const draw = random.nextFloat()
  const urgent = draw < cell.urgentFraction
  const gang = !urgent && draw > 1 - cell.gangFraction
  const taskCount = urgent ? 1 : gang ? random.nextInt(2, 8) : random.nextInt(1, cell.maxBatchTasks)
  const workload = random.nextInt(0, 4)
  const meanMs = cell.meanRunMs * (urgent ? 0.2 : 0.4 + 0.3 * workload)
  const resources = accelerated ? buildAcceleratorResources(random) : buildProcessorResources(random, workload)
  const kind = gang ? 'gang' : 'batch'
  const name = `${accelerated ? 'render' : 'pages'}-${kind}-${workload}`
  const spec = { name, taskCount, resources, priority: urgent ? 'urgent' as const : 'normal' as const, checkpointable: workload < 3 }
  return createArrival(options, team, id, Math.floor(atMs), kind, meanMs, spec)
}

function buildProcessorResources (random: BenchRandom, workload: number): Resources {
  const processors = PROCESSOR_CHOICES[(workload + random.nextInt(0, 2)) % PROCESSOR_CHOICES.length]!
  return { processors, memoryMb: Math.ceil(processors * random.chooseItem(MEMORY_PER_PROCESSOR_MB)), accelerators: 0 }
}

function buildAcceleratorResources (random: BenchRandom): Resources {
  const accelerators = random.chooseItem([1, 1, 1, 2, 2, 4])
  return { processors: accelerators * random.chooseItem([1, 2]), memoryMb: accelerators * 4096, accelerators }
}

function createArrival (
  options: ArrivalOptions, team: BenchTeam, id: string, atMs: number, kind: JobSpec['kind'], meanMs: number,
  specOverrides: Partial<JobSpec> & { taskCount: number }
): JobArrival {
  const { random } = options
  const jobFactor = kind === 'service' ? 1 : random.nextLogNormal(0.3)
  // All jobs of a team's workload misdeclare their run time by the same factor, as real workloads tend to.
  const declarationFactor = options.misdeclareRunTimes ? 10 ** (((specOverrides.name ?? '').length * 7 + team.name.length * 3) % 5 / 2 - 1) : 1
  const spec: JobSpec = {
    name: 'job',
    kind,
    priority: 'normal',
    resources: { processors: 1, memoryMb: 1024, accelerators: 0 },
    runTimeMs: Math.ceil(meanMs * declarationFactor),
    maxRetries: 3,
    checkpointable: false,
    payload: '',
    ...specOverrides
  }
  const runMs = Array.from({ length: spec.taskCount }, () => Math.ceil(meanMs * jobFactor * random.nextLogNormal(0.2)))
  const alwaysFails = kind !== 'service' && random.nextFloat() < options.failingJobFraction
  return { atMs, id, row: { team: team.name, spec, acceptedAtMs: atMs }, runMs, alwaysFails }
}
