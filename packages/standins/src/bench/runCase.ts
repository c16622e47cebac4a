/** Runs one benchmark case with the same arrivals and faults for every scheduler. */
import { createCellScheduler } from '@fuchsiatally/core'
import { pathToFileURL } from 'node:url'
import { buildArrivals, type JobArrival } from './arrivals.js'
import { createEveningCell, createNightCell, createTwoYearCell, type BenchCell } from './benchCell.js'
import { createFirstFitScheduler, type BenchScheduler } from './benchScheduler.js'
import { runSimulation } from './simulation.js'
import { buildFaultPlan, NO_FAULTS } from './faultPlan.js'
import { createSimulationMetrics, type SimulationResult } from './simulationMetrics.js'
import { createBenchRandom } from './random.js'

/** Load and fault conditions. */
export type Condition = 'calm' | 'overload' | 'faults'
export const CONDITIONS: readonly Condition[] = ['calm', 'overload', 'faults']
export const CASES = ['evening', 'night', 'twoYears', 'growth'] as const
export type CaseName = typeof CASES[number]

/** Result of one scheduler in one cell and condition. */
export interface CaseResult {
  readonly cell: string
  readonly condition: Condition
  readonly scheduler: string
  readonly workers: number
  readonly jobs: number
  readonly tasks: number
  readonly result: SimulationResult
}

/** Factories of the compared schedulers, by name. */
export type SchedulerFactories = ReadonlyMap<string, () => BenchScheduler>

const LOADS: Record<Condition, number> = { calm: 0.7, overload: 1.3, faults: 1 }
const FAILING_JOB_FRACTION = 0.02
const MS_PER_MINUTE = 60_000
const GROWTH_WORKER_COUNTS = [33, 100, 330, 990]

/** Creates the factories in the order of the report. */
export async function createSchedulerFactories (earlierBuildPath: string | undefined, baseline: boolean): Promise<SchedulerFactories> {
  const factories = new Map<string, () => BenchScheduler>([['fuchsiatally', () => createCellScheduler()]])
  if (earlierBuildPath !== undefined) {
    const earlier = await import(pathToFileURL(earlierBuildPath).href) as { createCellScheduler: () => BenchScheduler }
    factories.set('earlier', () => earlier.createCellScheduler())
  }
  if (baseline) factories.set('first-fit', createFirstFitScheduler)
  return factories
}

/** Creates the cells of a case; quick mode shortens the simulated time. */
export function createBenchCells (name: CaseName, quick: boolean): BenchCell[] {
  const durationFraction = quick ? 0.25 : 1
  if (name === 'evening') return [applyDurationFraction(createEveningCell(), durationFraction)]
  if (name === 'night') return [applyDurationFraction(createNightCell(), durationFraction)]
  if (name === 'twoYears') return [createTwoYearCell(990, (quick ? 6 : 12) * MS_PER_MINUTE)]
  return GROWTH_WORKER_COUNTS.map((size) => createTwoYearCell(size, (quick ? 3 : 5) * MS_PER_MINUTE))
}

function applyDurationFraction (cell: BenchCell, durationFraction: number): BenchCell {
  return { ...cell, durationMs: cell.durationMs * durationFraction, startMinute: cell.startMinute + cell.durationMs * (1 - durationFraction) / MS_PER_MINUTE }
}

/** Runs every scheduler on one cell under one condition. */
export function runBenchCell (
  cell: BenchCell, condition: Condition, seed: number, factories: SchedulerFactories
): CaseResult[] {
  const random = createBenchRandom(seed)
  const hasFaults = condition === 'faults'
  const arrivals = buildArrivals({
    cell, load: LOADS[condition], misdeclareRunTimes: hasFaults, failingJobFraction: hasFaults ? FAILING_JOB_FRACTION : 0, random
  })
  const faults = hasFaults ? buildFaultPlan(cell, arrivals, random) : NO_FAULTS
  const results: CaseResult[] = []
  for (const [name, create] of factories) {
    const metrics = createSimulationMetrics(cell)
    runSimulation({ cell, scheduler: create(), arrivals, faults, metrics, startWallMs: cell.startMinute * MS_PER_MINUTE })
    results.push({
      cell: cell.name,
      condition,
      scheduler: name,
      workers: cell.workers.length,
      jobs: arrivals.length,
      tasks: countTasks(arrivals),
      result: metrics.readResult()
    })
  }
  return results
}

function countTasks (arrivals: readonly JobArrival[]): number {
  let tasks = 0
  for (const arrival of arrivals) tasks += arrival.runMs.length
  return tasks
}
