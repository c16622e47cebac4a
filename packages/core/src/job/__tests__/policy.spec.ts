/** Scheduling policies, each tested in a minimal cell. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Resources } from '../../schema/resources.js'
import { findNeverFits } from '../neverFits.js'
import { AMPLE_CEILING, createManifest, createSpec, createTeam, createWorker, SchedulerSimulation } from './schedulerSimulation.js'

const ONE_CORE: Resources = { processors: 1, memoryMb: 1000, accelerators: 0 }
const FOUR_CORES: Resources = { processors: 4, memoryMb: 16_000, accelerators: 0 }

function createSimulation (workers = 1, capacity = FOUR_CORES): SchedulerSimulation {
  const ids = Array.from({ length: workers }, (_, number) => `w${number}`)
  const manifest = createManifest([createTeam('red', 1, AMPLE_CEILING), createTeam('blue', 1, AMPLE_CEILING)])
  return new SchedulerSimulation(manifest, ids.map((id, number) => createWorker(id, capacity, { failureDomain: `d${number % 3}` })))
}

function listPhases (simulation: SchedulerSimulation, job: string): string[] {
  return simulation.scheduler.readJobState(job)!.tasks.map(({ phase }) => phase)
}

function endAttempts (simulation: SchedulerSimulation, worker: string, count: number): void {
  for (let number = 0; number < count; number++) simulation.endAttempt(worker, 0, 'completed', 10_000)
}

test('fillers run in reserved room and are preempted once no other task occupies it', () => {
  const simulation = createSimulation()
  const long = simulation.addJob(createSpec({ name: 'long', resources: ONE_CORE, runTimeMs: 100_000 }), 'blue')
  simulation.addJob(createSpec({ name: 'short', resources: ONE_CORE, taskCount: 3, runTimeMs: 20_000 }), 'blue')
  simulation.decide()
  simulation.syncWorker('w0')
  const gang = simulation.addJob(createSpec({ kind: 'gang', resources: FOUR_CORES }), 'blue')
  simulation.decide()
  simulation.nowMs = 6000
  simulation.decide()
  const filler = simulation.addJob(createSpec({ name: 'filler', resources: ONE_CORE, taskCount: 3, runTimeMs: 1e6, checkpointable: true }), 'blue')
  simulation.nowMs = 20_000
  for (let pick = 0; pick < 3; pick++) simulation.endAttempt('w0', 1, 'completed', 20_000)
  simulation.decide()
  simulation.syncWorker('w0')
  assert.equal(listPhases(simulation, filler), ['assigned', 'assigned', 'assigned'])
  simulation.nowMs = 100_000
  simulation.endAttempt('w0', 0, 'completed', 100_000)
  assert.equal(listPhases(simulation, long), ['completed'])
  const stops = simulation.decide().filter(({ kind }) => kind === 'stop')
  assert.equal(stops.map((stop) => stop.kind === 'stop' && stop.checkpoint), [true, true, true])
  simulation.syncWorker('w0')
  simulation.decide()
  assert.equal(listPhases(simulation, gang), ['assigned'])
})

test('work above a lowered ceiling stops, checkpointable and youngest first, and restarts when the ceiling is raised', () => {
  const simulation = createSimulation(2)
  const old = simulation.addJob(createSpec({ name: 'old', resources: ONE_CORE, taskCount: 2 }), 'red')
  simulation.decide()
  simulation.nowMs = 5000
  const young = simulation.addJob(createSpec({ name: 'young', resources: ONE_CORE, taskCount: 2 }), 'red')
  const saved = simulation.addJob(createSpec({ name: 'saved', resources: ONE_CORE, taskCount: 2, checkpointable: true }), 'red')
  simulation.decide()
  const setRedProcessors = (processors: number): void => {
    const red = createTeam('red', 1, { processors, memoryMb: 1_000_000, accelerators: 0 })
    simulation.scheduler.setManifest(createManifest([red, createTeam('blue', 1, AMPLE_CEILING)]))
  }
  setRedProcessors(3)
  const stops = simulation.decide().filter(({ kind }) => kind === 'stop')
  assert.is(stops.length, 3)
  assert.equal([old, young, saved].map((job) => listPhases(simulation, job)), [['assigned', 'assigned'], ['assigned', 'stopping'], ['stopping', 'stopping']])
  assert.equal(simulation.decide(), [])
  for (const worker of ['w0', 'w1']) simulation.syncWorker(worker)
  assert.equal(simulation.decide(), [])
  assert.equal(listPhases(simulation, saved), ['queued', 'queued'])
  setRedProcessors(6)
  assert.is(simulation.decide().filter(({ kind }) => kind === 'start').length, 3)
})

test('an urgent job whose reservation was released near its ceiling starts when room is released', () => {
  const accelerated = { processors: 8, memoryMb: 16_000, accelerators: 4 }
  const pair: Resources = { processors: 0.1, memoryMb: 64, accelerators: 2 }
  const red = createTeam('red', 1, { processors: 7, memoryMb: 30_000, accelerators: 3 })
  const simulation = new SchedulerSimulation(createManifest([red, createTeam('blue', 3, AMPLE_CEILING)]), [createWorker('w3', accelerated), createWorker('w4', accelerated)])
  simulation.addJob(createSpec({ priority: 'urgent', resources: pair, taskCount: 4 }), 'blue')
  simulation.decide()
  simulation.syncWorker('w4')
  const job = simulation.addJob(createSpec({ priority: 'urgent', resources: pair, taskCount: 2 }), 'red')
  simulation.decide(1)
  simulation.endAttempt('w4', 0, 'completed', 10)
  simulation.addJob(createSpec({ resources: { ...pair, accelerators: 1 } }), 'blue')
  simulation.decide(1)
  simulation.nowMs += 2000
  simulation.decide(3)
  for (let round = 0; round < 20; round += 1) {
    simulation.nowMs += 10_000
    simulation.decide()
    for (const worker of ['w3', 'w4']) {
      simulation.syncWorker(worker)
      simulation.endAttempt(worker, 0, 'completed', 10_000)
    }
  }
  assert.equal(listPhases(simulation, job), ['completed', 'completed'])
})

test('batch work does not use scarce memory of accelerator workers, unless it needs more processors than memory', () => {
  const simulation = createSimulation(1, ONE_CORE)
  simulation.setWorker(createWorker('video', { processors: 64, memoryMb: 64_000, accelerators: 8 }, { pool: 'video' }))
  simulation.setWorker(createWorker('plain', { processors: 16, memoryMb: 64_000, accelerators: 0 }, { schedulable: false }))
  simulation.addJob(createSpec({ name: 'render', resources: { processors: 8, memoryMb: 8000, accelerators: 8 } }), 'red')
  simulation.addJob(createSpec({ name: 'service', kind: 'service', resources: { processors: 8, memoryMb: 46_000, accelerators: 0 } }), 'red')
  simulation.addJob(createSpec({ name: 'fill', resources: ONE_CORE }), 'red')
  simulation.decide()
  const heavy = simulation.addJob(createSpec({ name: 'heavy', resources: { processors: 1, memoryMb: 5000, accelerators: 0 } }), 'blue')
  const light = simulation.addJob(createSpec({ name: 'light', resources: { processors: 10, memoryMb: 3000, accelerators: 0 } }), 'blue')
  const urgent = simulation.addJob(createSpec({ name: 'urgent', priority: 'urgent', resources: { processors: 1, memoryMb: 4000, accelerators: 0 } }), 'blue')
  const answers = simulation.addJob(createSpec({ name: 'answers', kind: 'service', resources: { processors: 1, memoryMb: 3000, accelerators: 0 } }), 'blue')
  simulation.decide()
  assert.equal([heavy, light, urgent, answers].map((job) => listPhases(simulation, job)[0]), ['queued', 'assigned', 'assigned', 'assigned'])
  simulation.setWorker(createWorker('plain', { processors: 16, memoryMb: 64_000, accelerators: 0 }))
  simulation.decide()
  assert.equal(listPhases(simulation, heavy), ['assigned'])
})

test('urgent work preempts the tasks that lose the least work and starts when they have stopped', () => {
  const simulation = createSimulation()
  const plain = simulation.addJob(createSpec({ name: 'plain', resources: ONE_CORE, taskCount: 3 }), 'red')
  const saved = simulation.addJob(createSpec({ name: 'saved', resources: ONE_CORE, checkpointable: true }), 'red')
  simulation.decide()
  simulation.syncWorker('w0')
  simulation.nowMs = 30_000
  const urgent = simulation.addJob(createSpec({ resources: ONE_CORE, priority: 'urgent' }), 'blue')
  simulation.decide()
  assert.equal(listPhases(simulation, saved), ['stopping'])
  assert.equal(listPhases(simulation, plain), ['assigned', 'assigned', 'assigned'])
  simulation.nowMs += 600
  simulation.syncWorker('w0')
  simulation.decide()
  assert.equal(listPhases(simulation, urgent), ['assigned'])
})

test('among tasks that are not checkpointable, the youngest is preempted', () => {
  const simulation = createSimulation()
  simulation.addJob(createSpec({ name: 'old', resources: ONE_CORE, taskCount: 3 }), 'red')
  simulation.decide()
  simulation.syncWorker('w0')
  simulation.nowMs = 25_000
  const young = simulation.addJob(createSpec({ name: 'young', resources: ONE_CORE }), 'red')
  simulation.decide()
  simulation.syncWorker('w0')
  simulation.nowMs = 30_000
  simulation.addJob(createSpec({ resources: ONE_CORE, priority: 'urgent' }), 'blue')
  simulation.decide()
  assert.equal(listPhases(simulation, young), ['stopping'])
})

test('urgent work reserves room on another worker when the first does not release it in time', () => {
  const simulation = createSimulation(2)
  simulation.addJob(createSpec({ resources: FOUR_CORES, taskCount: 2 }), 'red')
  simulation.decide()
  for (const id of ['w0', 'w1']) simulation.syncWorker(id)
  const urgent = simulation.addJob(createSpec({ resources: ONE_CORE, priority: 'urgent' }), 'blue')
  const [stop] = simulation.decide()
  assert.is(stop?.kind, 'stop')
  const unresponsive = stop?.kind === 'stop' ? stop.worker : ''
  simulation.nowMs = 1600
  simulation.decide()
  simulation.syncWorker(unresponsive === 'w0' ? 'w1' : 'w0')
  simulation.decide()
  assert.equal(listPhases(simulation, urgent), ['assigned'])
  assert.is.not(simulation.scheduler.readJobState(urgent)!.tasks[0]!.worker, unresponsive)
})

test('a worker on which all tasks fail is quarantined and later probed with one task', () => {
  const simulation = createSimulation(4)
  simulation.setWorker({ ...simulation.workers.get('w0')!, schedulable: false })
  for (let number = 0; number < 3; number++) {
    simulation.addJob(createSpec({ name: `job-${number}`, resources: FOUR_CORES, maxRetries: 20 }), 'red')
  }
  simulation.decide()
  for (const id of ['w1', 'w2', 'w3']) simulation.syncWorker(id)
  simulation.setWorker({ ...simulation.workers.get('w0')!, schedulable: true })
  for (let failures = 0; failures < 3; failures++) {
    const job = simulation.addJob(createSpec({ name: `bad-${failures}`, resources: FOUR_CORES, maxRetries: 20 }), 'red')
    simulation.decide()
    simulation.syncWorker('w0')
    simulation.endAttempt('w0', 0, 'failed')
    simulation.cancelJob(job)
  }
  simulation.addJob(createSpec({ resources: ONE_CORE, taskCount: 4 }), 'red')
  simulation.decide()
  assert.is(simulation.scheduler.listDesired('w0').run.length, 0)
  simulation.nowMs = 61_000
  simulation.decide()
  assert.is(simulation.scheduler.listDesired('w0').run.length, 1)
  simulation.syncWorker('w0')
  simulation.endAttempt('w0', 0, 'completed')
  simulation.decide()
  assert.is(simulation.scheduler.listDesired('w0').run.length, 3)
})

test('a job that fails on every worker ends with the reason', () => {
  const simulation = createSimulation(4)
  const job = simulation.addJob(createSpec({ resources: FOUR_CORES, taskCount: 12, maxRetries: 1 }), 'red')
  for (let round = 0; round < 10; round++) {
    simulation.decide()
    for (const id of ['w0', 'w1', 'w2', 'w3']) {
      simulation.syncWorker(id)
      simulation.endAttempt(id, 0, 'failed')
    }
  }
  assert.is(simulation.scheduler.readJobState(job)!.phase, 'failed')
  assert.match(simulation.scheduler.explainJob(job, 0)!.summary, 'fails everywhere')
})

test('a service spreads over failure domains', () => {
  const simulation = createSimulation(6)
  const service = simulation.addJob(createSpec({ kind: 'service', resources: ONE_CORE, taskCount: 6 }), 'red')
  simulation.decide()
  const domains = simulation.scheduler.readJobState(service)!.tasks.map(({ worker }) => simulation.workers.get(worker!)!.failureDomain)
  assert.equal(['d0', 'd1', 'd2'].map((domain) => domains.filter((used) => used === domain).length), [2, 2, 2])
})

test('services and checkpointable work leave a draining worker, other work runs to completion', () => {
  const simulation = createSimulation()
  const kinds = [{ kind: 'service' as const }, { checkpointable: true }, { checkpointable: false }]
  const jobs = kinds.map((kind, number) => simulation.addJob(createSpec({ name: `job-${number}`, resources: ONE_CORE, ...kind }), 'red'))
  simulation.decide()
  simulation.syncWorker('w0')
  simulation.setWorker(createWorker('w1', FOUR_CORES))
  simulation.setWorker({ ...simulation.workers.get('w0')!, schedulable: false, draining: true })
  simulation.decide()
  assert.equal(jobs.map((job) => listPhases(simulation, job)[0]), ['stopping', 'stopping', 'assigned'])
  simulation.syncWorker('w0')
  simulation.decide()
  assert.equal(jobs.map((job) => simulation.scheduler.readJobState(job)!.tasks[0]!.worker), ['w1', 'w1', 'w0'])
})

test('a team behind its share in the window gets the room that is released', () => {
  const simulation = createSimulation()
  simulation.addJob(createSpec({ resources: ONE_CORE, taskCount: 100 }), 'red')
  simulation.decide()
  simulation.nowMs = 3_600_000
  const late = simulation.addJob(createSpec({ resources: ONE_CORE, taskCount: 4, runTimeMs: 1e6 }), 'blue')
  simulation.syncWorker('w0')
  endAttempts(simulation, 'w0', 4)
  simulation.decide()
  assert.equal(listPhases(simulation, late), ['assigned', 'assigned', 'assigned', 'assigned'])
})

test('the reason why a job can never run is reported', () => {
  const workers = [createWorker('w0', FOUR_CORES), createWorker('w1', { processors: 2, memoryMb: 64_000, accelerators: 1 })]
  const find = (resources: Resources, rest = {}): string | undefined =>
    findNeverFits(createSpec({ resources, ...rest }), workers)?.resource
  assert.is(find({ ...ONE_CORE, processors: 5 }), 'processors')
  assert.is(find({ ...ONE_CORE, accelerators: 2 }), 'accelerators')
  assert.is(find({ processors: 4, memoryMb: 60_000, accelerators: 0 }), 'processors')
  assert.is(find(ONE_CORE, { pool: 'none' }), 'pool')
  assert.is(find(FOUR_CORES, { kind: 'gang', taskCount: 2 }), 'gang')
  assert.is(find(FOUR_CORES, { taskCount: 2 }), undefined)
})

test.run()
