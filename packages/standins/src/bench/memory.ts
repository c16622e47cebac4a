/** Heap usage of a scheduler with a fully loaded cell, by number of workers. */
import { createCellScheduler, type CellScheduler, type JobRow } from '@fuchsiatally/core'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createBenchManifest, createTwoYearCell } from './benchCell.js'

/** Heap usage for one number of workers. */
export interface MemoryResult {
  readonly workers: number
  readonly running: number
  readonly queued: number
  readonly heapMb: number
}

const WORKER_COUNTS = [100, 330, 990]
const TASKS_PER_WORKER = 17
/** Each job has 17 tasks, about as many as fit on a worker; jobs that wait, as a fraction of the number of workers, come in addition to one job per worker. */
const QUEUED_FRACTION = 0.3
const BYTES_PER_MB = 1_048_576

/** Measures the heap that schedulers of increasing size retain after a full garbage collection. */
export function measureMemory (): MemoryResult[] {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  // Warm-up, so that compiled code and type feedback are part of the baseline.
  createFullCell(WORKER_COUNTS[0]!)
  collectGarbage()
  const baselineBytes = process.memoryUsage().heapUsed
  return WORKER_COUNTS.map((workers) => measureFullCell(workers, collectGarbage, baselineBytes))
}

function measureFullCell (workers: number, collectGarbage: () => void, baselineBytes: number): MemoryResult {
  const scheduler = createFullCell(workers)
  collectGarbage()
  const heapMb = (process.memoryUsage().heapUsed - baselineBytes) / BYTES_PER_MB
  return { workers, ...countPhases(scheduler, workers), heapMb }
}

function createFullCell (workers: number): CellScheduler {
  const cell = createTwoYearCell(workers, 3_600_000)
  const scheduler = createCellScheduler()
  scheduler.setManifest(createBenchManifest(cell))
  for (const worker of cell.workers) scheduler.setWorker(worker)
  const jobs = Math.round(workers * (1 + QUEUED_FRACTION))
  for (let number = 0; number < jobs; number++) scheduler.addJob(`job-${number}`, createJobRow(cell.teams[number % cell.teams.length]!.name, number), undefined, 0)
  while (scheduler.decide(0, 0, 1000).length > 0) scheduler.takeChangedJobs()
  return scheduler
}

function createJobRow (team: string, number: number): JobRow {
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
  for (let number = 0; number < Math.round(workers * (1 + QUEUED_FRACTION)); number++) {
    for (const { phase } of scheduler.readJobState(`job-${number}`)!.tasks) {
      if (phase === 'assigned') running += 1
      if (phase === 'queued') queued += 1
    }
  }
  return { running, queued }
}

/** Formats the results as a Markdown table. */
export function formatMemory (results: readonly MemoryResult[]): string {
  const lines = results.map(({ workers, running, queued, heapMb }) => `| ${workers} | ${running} | ${queued} | ${heapMb.toFixed(2)} |`)
  return ['| workers | running | queued | heap MB |', '| --- | --- | --- | --- |', ...lines].join('\n')
}
