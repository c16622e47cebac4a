/** Seeded arrivals of jobs, with the run times that their tasks will really have. */
import type { JobRow, JobSpec, Resources } from '@fuchsiatally/core'
import { computeCapacity, type BenchCell, type BenchTeam } from './benchCell.js'
import type { BenchRandom } from './random.js'

/** A job that arrives. */
export interface JobArrival {
  readonly atMs: number
  readonly id: string
  readonly row: JobRow
  /** Real run time by task, in milliseconds. */
  readonly runMs: readonly number[]
  /** Every attempt fails. */
  readonly broken: boolean
}

/** Options of the arrivals. */
export interface ArrivalOptions {
  readonly cell: BenchCell
  /** Work asked for over capacity. */
  readonly load: number
  /** Declared run times are up to ten times too long or too short. */
  readonly wrongDeclarations: boolean
  /** Part of the jobs whose tasks always fail. */
  readonly brokenPart: number
  readonly random: BenchRandom
}

const CORES = [0.5, 1, 1, 2, 2, 4, 8]
const MEMORY_PER_CORE_MB = [1024, 2048, 3072, 4096, 6144]

/** Builds all arrivals of a run, ordered by time. */
export function buildArrivals (options: ArrivalOptions): JobArrival[] {
  const { cell } = options
  const capacity = computeCapacity(cell.workers)
  const arrivals = buildServices(options, capacity)
  const demandSum = cell.teams.reduce((sum, team) => sum + team.share * team.demand, 0)
  for (const team of cell.teams) {
    const part = team.share * team.demand / demandSum
    addTeam(arrivals, options, team, part, capacity)
  }
  arrivals.sort((a, b) => a.atMs - b.atMs || (a.id < b.id ? -1 : 1))
  return arrivals
}

/** Services that run for the whole time, the same for each load. */
function buildServices (options: ArrivalOptions, capacity: Resources): JobArrival[] {
  const { cell } = options
  const arrivals: JobArrival[] = []
  let processors = capacity.processors * cell.servicePart
  for (let number = 0; processors > 0; number++) {
    const team = cell.teams[number % cell.teams.length]!
    const taskCount = Math.max(1, Math.min(24, Math.floor(processors / 2)))
    processors -= taskCount * 2
    const spec = { name: `service-${number}`, taskCount, resources: { processors: 2, memoryMb: 4096, accelerators: 0 } }
    arrivals.push(createArrival(options, team, `${team.name}-service-${number}`, 0, 'service', cell.durationMs * 10, spec))
  }
  return arrivals
}

/** Two streams a team: work on processors and work on accelerators, each in proportion to what there is of them. */
function addTeam (
  arrivals: JobArrival[], options: ArrivalOptions, team: BenchTeam, part: number, capacity: Resources
): void {
  const { cell, load } = options
  const seconds = cell.durationMs / 1000
  const processors = capacity.processors * (1 - cell.servicePart)
  // Work on accelerators takes a processor or two for each of them.
  const acceleratorWork = capacity.accelerators * 0.9
  addStream(arrivals, options, team, false, (processors - 1.5 * acceleratorWork) * load * part * seconds)
  addStream(arrivals, options, team, true, acceleratorWork * load * part * seconds)
}

function addStream (
  arrivals: JobArrival[], options: ArrivalOptions, team: BenchTeam, accelerated: boolean, wanted: number
): void {
  const { cell, random } = options
  const jobs: JobArrival[] = []
  let work = 0
  for (let number = 0; work < wanted; number++) {
    const id = `${team.name}-${accelerated ? 'a' : 'p'}-${String(number).padStart(5, '0')}`
    const atMs = cell.durationMs * (team.startsAt + random.nextFloat() * (0.95 - team.startsAt))
    const job = buildJob(options, team, id, atMs, accelerated)
    const { resources } = job.row.spec
    const unit = accelerated ? resources.accelerators : resources.processors
    for (const runMs of job.runMs) work += unit * runMs / 1000
    jobs.push(job)
  }
  arrivals.push(...jobs)
}

function buildJob (
  options: ArrivalOptions, team: BenchTeam, id: string, atMs: number, accelerated: boolean
): JobArrival {
  const { cell, random } = options
  const draw = random.nextFloat()
  const urgent = draw < cell.urgentPart
  const gang = !urgent && draw > 1 - cell.gangPart
  const taskCount = urgent ? 1 : gang ? random.nextInt(2, 8) : random.nextInt(1, cell.batchTasks)
  const workload = random.nextInt(0, 4)
  const meanMs = cell.meanRunMs * (urgent ? 0.2 : 0.4 + 0.3 * workload)
  const resources = accelerated ? buildAccelerated(random) : buildPlain(random, workload)
  const kind = gang ? 'gang' : 'batch'
  const name = `${accelerated ? 'render' : 'pages'}-${kind}-${workload}`
  const spec = { name, taskCount, resources, priority: urgent ? 'urgent' as const : 'normal' as const, checkpointable: workload < 3 }
  return createArrival(options, team, id, Math.floor(atMs), kind, meanMs, spec)
}

function buildPlain (random: BenchRandom, workload: number): Resources {
  const processors = CORES[(workload + random.nextInt(0, 2)) % CORES.length]!
  return { processors, memoryMb: Math.ceil(processors * random.chooseItem(MEMORY_PER_CORE_MB)), accelerators: 0 }
}

function buildAccelerated (random: BenchRandom): Resources {
  const accelerators = random.chooseItem([1, 1, 1, 2, 2, 4])
  return { processors: accelerators * random.chooseItem([1, 2]), memoryMb: accelerators * 4096, accelerators }
}

function createArrival (
  options: ArrivalOptions, team: BenchTeam, id: string, atMs: number, kind: JobSpec['kind'], meanMs: number,
  part: Partial<JobSpec> & { taskCount: number }
): JobArrival {
  const { random } = options
  // A workload's declarations are off in one direction, as they are in life.
  const spread = kind === 'service' ? 1 : random.nextLogNormal(0.3)
  const wrong = options.wrongDeclarations ? 10 ** (((part.name ?? '').length * 7 + team.name.length * 3) % 5 / 2 - 1) : 1
  const spec: JobSpec = {
    name: 'job',
    kind,
    priority: 'normal',
    resources: { processors: 1, memoryMb: 1024, accelerators: 0 },
    runTimeMs: Math.ceil(meanMs * wrong),
    maxRetries: 3,
    checkpointable: false,
    payload: '',
    ...part
  }
  const runMs = Array.from({ length: spec.taskCount }, () => Math.ceil(meanMs * spread * random.nextLogNormal(0.2)))
  const broken = kind !== 'service' && random.nextFloat() < options.brokenPart
  return { atMs, id, row: { team: team.name, spec, acceptedAtMs: atMs }, runMs, broken }
}
