/** A planner whose workers are lost, for tests of what it concludes. */
import { createTestStep, createTestStepJob } from './stepJobs.js'
import { ACCEPTED_STATE, createPartitionPlanner, type JobStep, type PartitionPlanner, type StartOrder, type TrySendQuery, type WorkerLoss } from '../partition/index.js'

/** Advice service that takes every query. */
export const ACCEPT_REQUEST: TrySendQuery = () => true
/** Workers of a rack. */
export const RACK_SIZE = 4

/** A planner and its time. */
export interface World {
  readonly planner: PartitionPlanner
  nowMs: number
}

/** Adds a worker that takes tasks. */
export function addWorker ({ planner }: World, id: string, rack: string): void {
  planner.setWorker({ id, failureDomain: `domain of ${rack}`, labels: ['kind', rack], capacity: { processors: 8, memoryMb: 65_536, accelerators: 0 }, draining: false })
  planner.setSynced(id, true)
}

/** Creates a planner with workers `w0`, `w1`, ... in racks of four. */
export function createWorld (workers: number): World {
  const world = { planner: createPartitionPlanner(), nowMs: 1000 }
  for (let index = 0; index < workers; index++) addWorker(world, `w${index}`, `r${Math.floor(index / RACK_SIZE)}`)
  return world
}

/** Adds an accepted job with one step. */
export function addJob ({ planner, nowMs }: World, id: string, changes: Partial<JobStep> = {}): void {
  planner.addJob(id, createTestStepJob([createTestStep({ resources: { processors: 1, memoryMb: 512, accelerators: 0 }, ...changes })]), ACCEPTED_STATE, nowMs)
}

/** Plans one round and confirms its starts. */
export function startRuns (world: World, trySend: TrySendQuery = ACCEPT_REQUEST): readonly StartOrder[] {
  const { starts } = world.planner.decide(world.nowMs, world.nowMs, trySend)
  for (const order of starts) world.planner.recordStartConfirmed(order, order.worker, world.nowMs)
  return starts
}

/** Lets a worker fail and then be lost; returns what became of its tasks. */
export function loseWorker (world: World, worker: string, kind: WorkerLoss['kind'], failsWith: readonly string[] = []) {
  const failedAtMs = world.nowMs
  for (const id of [worker, ...failsWith]) world.planner.recordWorkerFailing(id, failedAtMs, kind !== 'silent')
  world.nowMs += 3300
  return world.planner.recordWorkerLost(worker, { kind, failedAtMs, nowMs: world.nowMs, wallMs: world.nowMs })
}

/** Loses the worker that a task runs on, which comes back as another one. */
export function crashUnder (world: World, job: string, starts: readonly StartOrder[]): void {
  const { worker } = starts.find((order) => order.job === job)!
  loseWorker(world, worker, 'crashed')
  world.planner.removeWorker(worker)
  addWorker(world, `${worker}+`, 'r9')
}
