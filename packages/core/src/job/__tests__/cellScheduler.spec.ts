/** Property tests of the scheduler under arbitrary event orders, checked by the invariants of the simulation. */
import fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { JobRow, JobSpec } from '../../schema/job.js'
import type { EndedTask } from '../../schema/linkMessage.js'
import { findNeverFits } from '../neverFits.js'
import { AMPLE_CEILING, createManifest, createSpec, createTeam, createWorker, SchedulerSimulation } from './schedulerSimulation.js'

const WORKER_IDS = ['w0', 'w1', 'w2', 'w3', 'w4'] as const
const TEAMS = [
  createTeam('red', 1, { processors: 7, memoryMb: 30_000, accelerators: 3 }),
  createTeam('blue', 3, AMPLE_CEILING)
]

type Step =
  | { kind: 'add', spec: JobSpec, team: string }
  | { kind: 'cancel', pick: number }
  | { kind: 'decide', max: number }
  | { kind: 'sync', worker: string }
  | { kind: 'end', worker: string, pick: number, result: EndedTask['result'] }
  | { kind: 'lose', worker: string }
  | { kind: 'setSchedulable', worker: string, schedulable: boolean }
  | { kind: 'wait', ms: number }
  | { kind: 'redeliver', pick: number, worker: string }
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
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('setSchedulable' as const), worker: workerIds, schedulable: fc.boolean() }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.constantFrom(10, 2000, 70_000) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('redeliver' as const), pick: picks, worker: workerIds }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restore' as const) }) }
)

function createSimulation (): SchedulerSimulation {
  const plain = { processors: 4, memoryMb: 16_000, accelerators: 0 }
  const workers = WORKER_IDS.map((id, index) => {
    const capacity = index < 3 ? plain : { processors: 8, memoryMb: 16_000, accelerators: 4 }
    return createWorker(id, capacity, { failureDomain: index % 2 === 0 ? 'a' : 'b', rack: `r${index % 3}` })
  })
  return new SchedulerSimulation(createManifest(TEAMS), workers)
}

function runStep (simulation: SchedulerSimulation, step: Step): unknown {
  switch (step.kind) {
    case 'add': return simulation.addJob(step.spec, step.team)
    case 'cancel': {
      const id = [...simulation.jobs.keys()][step.pick]
      return id && simulation.cancelJob(id)
    }
    case 'decide': return simulation.decide(step.max)
    case 'sync': return simulation.syncWorker(step.worker)
    case 'end': return simulation.endAttempt(step.worker, step.pick, step.result)
    case 'lose': return simulation.loseWorker(step.worker)
    case 'setSchedulable': return simulation.setWorker({ ...simulation.workers.get(step.worker)!, schedulable: step.schedulable })
    case 'wait': {
      simulation.nowMs += step.ms
      return undefined
    }
    case 'redeliver': return simulation.redeliverEnded(step.pick, step.worker)
    case 'restore': return simulation.restoreFromRows()
  }
}

test('capacity, ceilings, single attempts, all-or-nothing gangs and restored state hold under any order of events', () => {
  fc.assert(fc.property(fc.array(steps, { maxLength: 150, size: 'max' }), (list) => {
    const simulation = createSimulation()
    for (const step of list) {
      runStep(simulation, step)
      simulation.checkInvariants()
    }
  }), resolveFuzzOptions(41, 400))
})

test('equal calls give equal results', () => {
  fc.assert(fc.property(fc.array(steps, { maxLength: 100, size: 'max' }), (list) => {
    const [first, second] = [createSimulation(), createSimulation()]
    for (const step of list) {
      assert.equal(runStep(first, step), runStep(second, step))
      assert.equal(first.scheduler.takeChangedJobs(), second.scheduler.takeChangedJobs())
    }
  }), resolveFuzzOptions(42, 100))
})

test('only jobs that are reported as changed have changed state', () => {
  fc.assert(fc.property(fc.array(steps, { maxLength: 100, size: 'max' }), (list) => {
    const simulation = createSimulation()
    for (const step of list) {
      const before = simulation.readStates()
      runStep(simulation, step)
      const changed = new Set(simulation.scheduler.takeChangedJobs())
      if (step.kind === 'restore') continue
      for (const [id, state] of before) {
        if (!changed.has(id)) assert.equal(simulation.scheduler.readJobState(id), state, `${id} changed unreported`)
      }
    }
  }), resolveFuzzOptions(43, 100))
})

test('every task of a feasible job ends when workers keep ending attempts', () => {
  const feasible = specs.map((spec) => ({ ...spec, kind: spec.kind === 'service' ? 'batch' as const : spec.kind }))
  fc.assert(fc.property(fc.array(steps, { maxLength: 60, size: 'max' }), fc.array(feasible, { minLength: 1, maxLength: 8 }), (list, added) => {
    const simulation = createSimulation()
    for (const step of list) runStep(simulation, step.kind === 'add' && step.spec.kind === 'service' ? { ...step, spec: { ...step.spec, kind: 'batch' } } : step)
    for (const worker of simulation.workers.values()) simulation.setWorker({ ...worker, schedulable: true })
    for (const spec of added) simulation.addJob(spec, 'blue')
    for (let round = 0; round < 3000 && hasUnfinishedJobs(simulation); round++) runRound(simulation)
    for (const [id, row] of simulation.jobs) {
      if (!isFeasible(simulation, row)) continue
      const { phase } = simulation.scheduler.readJobState(id)!
      assert.ok(['completed', 'failed', 'cancelled'].includes(phase), `${id} ${phase}: ${simulation.scheduler.explainJob(id, simulation.nowMs)?.summary}`)
    }
  }), resolveFuzzOptions(44, 150))
})

/** Every worker reaches its desired state and ends its oldest attempt; small jobs keep arriving and compete for room. */
function runRound (simulation: SchedulerSimulation): void {
  simulation.nowMs += 10_000
  if (simulation.jobs.size < 120) simulation.addJob(createSpec({ resources: { processors: 0.5, memoryMb: 500, accelerators: 0 } }), 'blue')
  simulation.decide()
  for (const id of WORKER_IDS) {
    simulation.syncWorker(id)
    simulation.endAttempt(id, 0, 'completed', 10_000)
  }
}

function hasUnfinishedJobs (simulation: SchedulerSimulation): boolean {
  for (const [id, row] of simulation.jobs) {
    if (!isFeasible(simulation, row)) continue
    if (['queued', 'running'].includes(simulation.scheduler.readJobState(id)!.phase)) return true
  }
  return false
}

/** Checks whether the job could run in an empty cell without other work of its team. */
function isFeasible (simulation: SchedulerSimulation, { team, spec }: JobRow): boolean {
  if (findNeverFits(spec, [...simulation.workers.values()])) return false
  const tasks = spec.kind === 'gang' ? spec.taskCount : 1
  const { resources } = TEAMS.find(({ name }) => name === team)!.ceiling
  return spec.resources.processors * tasks <= resources.processors &&
    spec.resources.memoryMb * tasks <= resources.memoryMb &&
    spec.resources.accelerators * tasks <= resources.accelerators
}

test('a gang that needs the whole cell starts although small tasks keep arriving', () => {
  const simulation = createSimulation()
  for (let second = 0; second < 30; second++) runBusySecond(simulation)
  const gang = simulation.addJob(createSpec({ kind: 'gang', taskCount: 5, resources: { processors: 3, memoryMb: 1000, accelerators: 0 } }), 'blue')
  let waitedS = 0
  for (; simulation.scheduler.readJobState(gang)!.phase === 'queued' && waitedS < 600; waitedS++) runBusySecond(simulation)
  assert.is(simulation.scheduler.readJobState(gang)!.phase, 'running')
  assert.ok(waitedS < 60, `waited ${waitedS} s`)
})

/** Adds more small tasks than fit; each runs for several seconds although it declares half a second. */
function runBusySecond (simulation: SchedulerSimulation): void {
  simulation.nowMs += 1000
  const spec = createSpec({ taskCount: 6, runTimeMs: 500, resources: { processors: 1, memoryMb: 500, accelerators: 0 } })
  simulation.addJob(spec, 'blue')
  simulation.decide()
  for (const id of WORKER_IDS) {
    simulation.syncWorker(id)
    simulation.endAttempt(id, 0, 'completed', 5000)
  }
}

test.run()
