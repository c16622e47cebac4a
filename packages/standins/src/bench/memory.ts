/** Memory of a scheduler that holds a full cell, by size. */
import { createCellScheduler, type CellScheduler, type JobRow } from '@fuchsiatally/core'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createBenchManifest, createTwoYears } from './benchCell.js'

/** Memory at one size. */
export interface MemoryResult {
  readonly workers: number
  readonly running: number
  readonly queued: number
  readonly heapMb: number
}

const SIZES = [100, 330, 990]
const TASKS_PER_WORKER = 17
/** Jobs of 17 tasks: one running for each worker and this part of them waiting besides. */
const QUEUED_PART = 0.3
const BYTES_PER_MB = 1_048_576

/** Measures the heap that schedulers of growing size hold, after a full collection. */
export function computeMemory (): MemoryResult[] {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  // Code is compiled and its feedback kept before the first measurement.
  createFullCell(SIZES[0]!)
  collect()
  const before = process.memoryUsage().heapUsed
  return SIZES.map((workers) => computeSize(workers, collect, before))
}

function computeSize (workers: number, collect: () => void, before: number): MemoryResult {
  const scheduler = createFullCell(workers)
  collect()
  const heapMb = (process.memoryUsage().heapUsed - before) / BYTES_PER_MB
  return { workers, ...countPhases(scheduler, workers), heapMb }
}

function createFullCell (workers: number): CellScheduler {
  const cell = createTwoYears(workers, 3_600_000)
  const scheduler = createCellScheduler()
  scheduler.setManifest(createBenchManifest(cell))
  for (const worker of cell.workers) scheduler.setWorker(worker)
  const jobs = Math.round(workers * (1 + QUEUED_PART))
  for (let number = 0; number < jobs; number++) scheduler.addJob(`job-${number}`, createRow(cell.teams[number % cell.teams.length]!.name, number), undefined, 0)
  while (scheduler.decide(0, 0, 1000).length > 0) scheduler.takeChangedJobs()
  return scheduler
}

function createRow (team: string, number: number): JobRow {
  const resources = { processors: 0.9, memoryMb: 3500, accelerators: 0 }
  return {
    team,
    acceptedAtMs: number,
    spec: { name: `work-${number % 50}`, kind: 'batch', priority: 'normal', taskCount: TASKS_PER_WORKER, resources, runTimeMs: 60_000, maxRetries: 3, checkpointable: true, payload: '' }
  }
}

function countPhases (scheduler: CellScheduler, workers: number): { running: number, queued: number } {
  let running = 0
  let queued = 0
  for (let number = 0; number < Math.round(workers * (1 + QUEUED_PART)); number++) {
    for (const { phase } of scheduler.readJobState(`job-${number}`)!.tasks) {
      if (phase === 'assigned') running += 1
      if (phase === 'queued') queued += 1
    }
  }
  return { running, queued }
}

/** Formats the table. */
export function formatMemory (results: readonly MemoryResult[]): string {
  const lines = results.map(({ workers, running, queued, heapMb }) => `| ${workers} | ${running} | ${queued} | ${heapMb.toFixed(2)} |`)
  return ['| workers | running | queued | heap MB |', '| --- | --- | --- | --- |', ...lines].join('\n')
}
