/** One case of the bench: the same arrivals and faults for every scheduler. */
import { createCellScheduler } from '@fuchsiatally/core'
import { pathToFileURL } from 'node:url'
import { buildArrivals, type JobArrival } from './arrivals.js'
import { createEvening, createNight, createTwoYears, type BenchCell } from './benchCell.js'
import { createFirstFitScheduler, type BenchScheduler } from './benchScheduler.js'
import { runFakeWorkers } from './fakeWorkers.js'
import { buildFaults, NO_FAULTS } from './faults.js'
import { createRunMeasures, type RunResult } from './measures.js'
import { createBenchRandom } from './random.js'

/** Conditions of a run. */
export type Condition = 'calm' | 'overload' | 'faults'
export const CONDITIONS: readonly Condition[] = ['calm', 'overload', 'faults']
export const CASES = ['evening', 'night', 'twoYears', 'growth'] as const
export type CaseName = typeof CASES[number]

/** One scheduler's figures in one case and condition. */
export interface CaseResult {
  readonly cell: string
  readonly condition: Condition
  readonly scheduler: string
  readonly workers: number
  readonly jobs: number
  readonly tasks: number
  readonly result: RunResult
}

/** Creates the schedulers that are compared, by name. */
export type SchedulerFactories = ReadonlyMap<string, () => BenchScheduler>

const LOADS: Record<Condition, number> = { calm: 0.7, overload: 1.3, faults: 1 }
const BROKEN_PART = 0.02
const MINUTE_MS = 60_000
const GROWTH_SIZES = [33, 100, 330, 990]

/** The schedulers in the order of the report. */
export async function createFactories (earlierCore: string | undefined, baseline: boolean): Promise<SchedulerFactories> {
  const factories = new Map<string, () => BenchScheduler>([['fuchsiatally', () => createCellScheduler()]])
  if (earlierCore !== undefined) {
    const earlier = await import(pathToFileURL(earlierCore).href) as { createCellScheduler: () => BenchScheduler }
    factories.set('earlier', () => earlier.createCellScheduler())
  }
  if (baseline) factories.set('first-fit', createFirstFitScheduler)
  return factories
}

/** Cells of a case; a quick run is shorter. */
export function createCells (name: CaseName, quick: boolean): BenchCell[] {
  const part = quick ? 0.25 : 1
  if (name === 'evening') return [scaleTime(createEvening(), part)]
  if (name === 'night') return [scaleTime(createNight(), part)]
  if (name === 'twoYears') return [createTwoYears(990, (quick ? 6 : 12) * MINUTE_MS)]
  return GROWTH_SIZES.map((size) => createTwoYears(size, (quick ? 3 : 5) * MINUTE_MS))
}

function scaleTime (cell: BenchCell, part: number): BenchCell {
  return { ...cell, durationMs: cell.durationMs * part, startMinute: cell.startMinute + cell.durationMs * (1 - part) / MINUTE_MS }
}

/** Runs one cell under one condition with every scheduler. */
export function runCell (
  cell: BenchCell, condition: Condition, seed: number, factories: SchedulerFactories
): CaseResult[] {
  const random = createBenchRandom(seed)
  const faulty = condition === 'faults'
  const arrivals = buildArrivals({
    cell, load: LOADS[condition], wrongDeclarations: faulty, brokenPart: faulty ? BROKEN_PART : 0, random
  })
  const faults = faulty ? buildFaults(cell, arrivals, random) : NO_FAULTS
  const results: CaseResult[] = []
  for (const [name, create] of factories) {
    const measures = createRunMeasures(cell)
    runFakeWorkers({ cell, scheduler: create(), arrivals, faults, measures, startWallMs: cell.startMinute * MINUTE_MS })
    results.push({
      cell: cell.name,
      condition,
      scheduler: name,
      workers: cell.workers.length,
      jobs: arrivals.length,
      tasks: countTasks(arrivals),
      result: measures.readResult()
    })
  }
  return results
}

function countTasks (arrivals: readonly JobArrival[]): number {
  let tasks = 0
  for (const arrival of arrivals) tasks += arrival.runMs.length
  return tasks
}
