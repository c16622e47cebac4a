/** Properties of the scheduler under any order of events, against the oracle of the small world. */
import fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { JobRow, JobSpec } from '../../schema/job.js'
import type { EndedTask } from '../../schema/linkMessage.js'
import { findNeverFits } from '../neverFits.js'
import { BIG, createManifest, createSpec, createTeam, createWorker, SchedulerWorld } from './schedulerWorld.js'

const WORKER_IDS = ['w0', 'w1', 'w2', 'w3', 'w4'] as const
const TEAMS = [
  createTeam('red', 1, { processors: 7, memoryMb: 30_000, accelerators: 3 }),
  createTeam('blue', 3, BIG)
]

type Step =
  | { kind: 'add', spec: JobSpec, team: string }
  | { kind: 'cancel', pick: number }
  | { kind: 'decide', max: number }
  | { kind: 'sync', worker: string }
  | { kind: 'end', worker: string, pick: number, result: EndedTask['result'] }
  | { kind: 'lose', worker: string }
  | { kind: 'close', worker: string, schedulable: boolean }
  | { kind: 'wait', ms: number }
  | { kind: 'repeat', pick: number, worker: string }
  | { kind: 'restore' }

const specs: fc.Arbitrary<JobSpec> = fc.record({
  kind: fc.constantFrom('batch', 'gang', 'service'),
  priority: fc.constantFrom('normal', 'normal', 'normal', 'urgent'),
  taskCount: fc.integer({ min: 1, max: 5 }),
  resources: fc.record({
    processors: fc.constantFrom(0.1, 0.5, 1, 2, 4),
    memoryMb: fc.constantFrom(64, 1000, 4000, 8000),
    accelerators: fc.constantFrom(0, 0, 1, 2)
  }),
  maxRetries: fc.integer({ min: 0, max: 3 }),
  checkpointable: fc.boolean(),
  runTimeMs: fc.constantFrom(1000, 60_000)
}).map(createSpec)

const workerIds = fc.constantFrom(...WORKER_IDS)
const picks = fc.nat({ max: 20 })
const steps: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('add' as const), spec: specs, team: fc.constantFrom('red', 'blue') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), pick: picks }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('decide' as const), max: fc.constantFrom(1, 3, 1000) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('sync' as const), worker: workerIds }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('end' as const),
      worker: workerIds,
      pick: picks,
      result: fc.constantFrom('completed', 'completed', 'failed', 'failed', 'lapsed', 'refused')
    })
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('lose' as const), worker: workerIds }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('close' as const), worker: workerIds, schedulable: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.constantFrom(10, 2000, 70_000) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('repeat' as const), pick: picks, worker: workerIds }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restore' as const) }) }
)

function createWorld (): SchedulerWorld {
  const plain = { processors: 4, memoryMb: 16_000, accelerators: 0 }
  const workers = WORKER_IDS.map((id, index) => {
    const capacity = index < 3 ? plain : { processors: 8, memoryMb: 16_000, accelerators: 4 }
    return createWorker(id, capacity, { failureDomain: index % 2 === 0 ? 'a' : 'b', rack: `r${index % 3}` })
  })
  return new SchedulerWorld(createManifest(TEAMS), workers)
}

function runStep (world: SchedulerWorld, step: Step): unknown {
  switch (step.kind) {
    case 'add': return world.addJob(step.spec, step.team)
    case 'cancel': {
      const id = [...world.jobs.keys()][step.pick]
      return id && world.cancelJob(id)
    }
    case 'decide': return world.decide(step.max)
    case 'sync': return world.syncWorker(step.worker)
    case 'end': return world.endAttempt(step.worker, step.pick, step.result)
    case 'lose': return world.loseWorker(step.worker)
    case 'close': return world.setWorker({ ...world.workers.get(step.worker)!, schedulable: step.schedulable })
    case 'wait': {
      world.nowMs += step.ms
      return undefined
    }
    case 'repeat': return world.repeatEnded(step.pick, step.worker)
    case 'restore': return world.restore()
  }
}

test('capacity, ceilings, single attempts, gangs and restored state hold under any order of events', () => {
  fc.assert(fc.property(fc.array(steps, { maxLength: 150, size: 'max' }), (list) => {
    const world = createWorld()
    for (const step of list) {
      runStep(world, step)
      world.checkAll()
    }
  }), resolveFuzzOptions(41, 400))
})

test('equal calls give equal results', () => {
  fc.assert(fc.property(fc.array(steps, { maxLength: 100, size: 'max' }), (list) => {
    const [first, second] = [createWorld(), createWorld()]
    for (const step of list) {
      assert.equal(runStep(first, step), runStep(second, step))
      assert.equal(first.scheduler.takeChangedJobs(), second.scheduler.takeChangedJobs())
    }
  }), resolveFuzzOptions(42, 100))
})

test('only jobs that are reported as changed have changed state', () => {
  fc.assert(fc.property(fc.array(steps, { maxLength: 100, size: 'max' }), (list) => {
    const world = createWorld()
    for (const step of list) {
      const before = world.readStates()
      runStep(world, step)
      const changed = new Set(world.scheduler.takeChangedJobs())
      if (step.kind === 'restore') continue
      for (const [id, state] of before) {
        if (!changed.has(id)) assert.equal(world.scheduler.readJobState(id), state, `${id} changed unreported`)
      }
    }
  }), resolveFuzzOptions(43, 100))
})

test('every task of a feasible job ends when workers keep working', () => {
  const feasible = specs.map((spec) => ({ ...spec, kind: spec.kind === 'service' ? 'batch' as const : spec.kind }))
  fc.assert(fc.property(fc.array(steps, { maxLength: 60, size: 'max' }), fc.array(feasible, { minLength: 1, maxLength: 8 }), (list, added) => {
    const world = createWorld()
    for (const step of list) runStep(world, step.kind === 'add' && step.spec.kind === 'service' ? { ...step, spec: { ...step.spec, kind: 'batch' } } : step)
    for (const worker of world.workers.values()) world.setWorker({ ...worker, schedulable: true })
    for (const spec of added) world.addJob(spec, 'blue')
    for (let round = 0; round < 3000 && hasUnended(world); round++) runRound(world)
    for (const [id, row] of world.jobs) {
      if (!isFeasible(world, row)) continue
      const { phase } = world.scheduler.readJobState(id)!
      assert.ok(['completed', 'failed', 'cancelled'].includes(phase), `${id} ${phase}: ${world.scheduler.explainJob(id, world.nowMs)?.summary}`)
    }
  }), resolveFuzzOptions(44, 150))
})

/** All workers obey; each ends its oldest attempt; small jobs keep arriving and compete for the room. */
function runRound (world: SchedulerWorld): void {
  world.nowMs += 10_000
  if (world.jobs.size < 120) world.addJob(createSpec({ resources: { processors: 0.5, memoryMb: 500, accelerators: 0 } }), 'blue')
  world.decide()
  for (const id of WORKER_IDS) {
    world.syncWorker(id)
    world.endAttempt(id, 0, 'completed', 10_000)
  }
}

function hasUnended (world: SchedulerWorld): boolean {
  for (const [id, row] of world.jobs) {
    if (!isFeasible(world, row)) continue
    if (['queued', 'running'].includes(world.scheduler.readJobState(id)!.phase)) return true
  }
  return false
}

/** Whether the job would run in an empty cell without other work of its team. */
function isFeasible (world: SchedulerWorld, { team, spec }: JobRow): boolean {
  if (findNeverFits(spec, [...world.workers.values()])) return false
  const tasks = spec.kind === 'gang' ? spec.taskCount : 1
  const { resources } = TEAMS.find(({ name }) => name === team)!.ceiling
  return spec.resources.processors * tasks <= resources.processors &&
    spec.resources.memoryMb * tasks <= resources.memoryMb &&
    spec.resources.accelerators * tasks <= resources.accelerators
}

test('a gang that needs the whole cell starts although small tasks never cease to arrive', () => {
  const world = createWorld()
  for (let second = 0; second < 30; second++) runBusySecond(world)
  const gang = world.addJob(createSpec({ kind: 'gang', taskCount: 5, resources: { processors: 3, memoryMb: 1000, accelerators: 0 } }), 'blue')
  let waitedS = 0
  for (; world.scheduler.readJobState(gang)!.phase === 'queued' && waitedS < 600; waitedS++) runBusySecond(world)
  assert.is(world.scheduler.readJobState(gang)!.phase, 'running')
  assert.ok(waitedS < 60, `waited ${waitedS} s`)
})

/** More small tasks than fit arrive; each runs for some seconds although half a second is declared. */
function runBusySecond (world: SchedulerWorld): void {
  world.nowMs += 1000
  const spec = createSpec({ taskCount: 6, runTimeMs: 500, resources: { processors: 1, memoryMb: 500, accelerators: 0 } })
  world.addJob(spec, 'blue')
  world.decide()
  for (const id of WORKER_IDS) {
    world.syncWorker(id)
    world.endAttempt(id, 0, 'completed', 5000)
  }
}

test.run()
