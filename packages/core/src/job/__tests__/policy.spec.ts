/** Single policies of the scheduler, each in the smallest cell that shows it. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Resources } from '../../schema/resources.js'
import { findNeverFits } from '../neverFits.js'
import { BIG, createManifest, createSpec, createTeam, createWorker, SchedulerWorld } from './schedulerWorld.js'

const CORE: Resources = { processors: 1, memoryMb: 1000, accelerators: 0 }
const FOUR: Resources = { processors: 4, memoryMb: 16_000, accelerators: 0 }

function createWorld (workers = 1, capacity = FOUR): SchedulerWorld {
  const ids = Array.from({ length: workers }, (_, number) => `w${number}`)
  const manifest = createManifest([createTeam('red', 1, BIG), createTeam('blue', 1, BIG)])
  return new SchedulerWorld(manifest, ids.map((id, number) => createWorker(id, capacity, { failureDomain: `d${number % 3}` })))
}

function listPhases (world: SchedulerWorld, job: string): string[] {
  return world.scheduler.readJobState(job)!.tasks.map(({ phase }) => phase)
}

function endAll (world: SchedulerWorld, worker: string, count: number): void {
  for (let number = 0; number < count; number++) world.endAttempt(worker, 0, 'completed', 10_000)
}

test('fillers run in held room and make way as soon as nothing else is in it', () => {
  const world = createWorld()
  const long = world.addJob(createSpec({ name: 'long', resources: CORE, runTimeMs: 100_000 }), 'blue')
  world.addJob(createSpec({ name: 'short', resources: CORE, taskCount: 3, runTimeMs: 20_000 }), 'blue')
  world.decide()
  world.syncWorker('w0')
  const gang = world.addJob(createSpec({ kind: 'gang', resources: FOUR }), 'blue')
  world.decide()
  world.nowMs = 6000
  world.decide()
  const filler = world.addJob(createSpec({ name: 'filler', resources: CORE, taskCount: 3, runTimeMs: 1e6, checkpointable: true }), 'blue')
  world.nowMs = 20_000
  for (let pick = 0; pick < 3; pick++) world.endAttempt('w0', 1, 'completed', 20_000)
  world.decide()
  world.syncWorker('w0')
  assert.equal(listPhases(world, filler), ['assigned', 'assigned', 'assigned'])
  world.nowMs = 100_000
  world.endAttempt('w0', 0, 'completed', 100_000)
  assert.equal(listPhases(world, long), ['completed'])
  const stops = world.decide().filter(({ kind }) => kind === 'stop')
  assert.equal(stops.map((stop) => stop.kind === 'stop' && stop.checkpoint), [true, true, true])
  world.syncWorker('w0')
  world.decide()
  assert.equal(listPhases(world, gang), ['assigned'])
})

test('work above a lowered ceiling stops, saved and youngest first, and starts again when the ceiling rises', () => {
  const world = createWorld(2)
  const old = world.addJob(createSpec({ name: 'old', resources: CORE, taskCount: 2 }), 'red')
  world.decide()
  world.nowMs = 5000
  const young = world.addJob(createSpec({ name: 'young', resources: CORE, taskCount: 2 }), 'red')
  const saved = world.addJob(createSpec({ name: 'saved', resources: CORE, taskCount: 2, checkpointable: true }), 'red')
  world.decide()
  const lower = (processors: number): void => {
    const red = createTeam('red', 1, { processors, memoryMb: 1_000_000, accelerators: 0 })
    world.scheduler.setManifest(createManifest([red, createTeam('blue', 1, BIG)]))
  }
  lower(3)
  const stops = world.decide().filter(({ kind }) => kind === 'stop')
  assert.is(stops.length, 3)
  assert.equal([old, young, saved].map((job) => listPhases(world, job)), [['assigned', 'assigned'], ['assigned', 'stopping'], ['stopping', 'stopping']])
  assert.equal(world.decide(), [])
  for (const worker of ['w0', 'w1']) world.syncWorker(worker)
  assert.equal(world.decide(), [])
  assert.equal(listPhases(world, saved), ['queued', 'queued'])
  lower(6)
  assert.is(world.decide().filter(({ kind }) => kind === 'start').length, 3)
})

test('an urgent job whose reservation was given up under a nearly full ceiling starts when room comes free', () => {
  const accelerated = { processors: 8, memoryMb: 16_000, accelerators: 4 }
  const pair: Resources = { processors: 0.1, memoryMb: 64, accelerators: 2 }
  const red = createTeam('red', 1, { processors: 7, memoryMb: 30_000, accelerators: 3 })
  const world = new SchedulerWorld(createManifest([red, createTeam('blue', 3, BIG)]), [createWorker('w3', accelerated), createWorker('w4', accelerated)])
  world.addJob(createSpec({ priority: 'urgent', resources: pair, taskCount: 4 }), 'blue')
  world.decide()
  world.syncWorker('w4')
  const job = world.addJob(createSpec({ priority: 'urgent', resources: pair, taskCount: 2 }), 'red')
  world.decide(1)
  world.endAttempt('w4', 0, 'completed', 10)
  world.addJob(createSpec({ resources: { ...pair, accelerators: 1 } }), 'blue')
  world.decide(1)
  world.nowMs += 2000
  world.decide(3)
  for (let round = 0; round < 20; round += 1) {
    world.nowMs += 10_000
    world.decide()
    for (const worker of ['w3', 'w4']) {
      world.syncWorker(worker)
      world.endAttempt(worker, 0, 'completed', 10_000)
    }
  }
  assert.equal(listPhases(world, job), ['completed', 'completed'])
})

test('batch work takes no memory that runs short beside accelerators, unless it needs more processors than memory', () => {
  const world = createWorld(1, CORE)
  world.setWorker(createWorker('video', { processors: 64, memoryMb: 64_000, accelerators: 8 }, { pool: 'video' }))
  world.setWorker(createWorker('plain', { processors: 16, memoryMb: 64_000, accelerators: 0 }, { schedulable: false }))
  world.addJob(createSpec({ name: 'render', resources: { processors: 8, memoryMb: 8000, accelerators: 8 } }), 'red')
  world.addJob(createSpec({ name: 'service', kind: 'service', resources: { processors: 8, memoryMb: 46_000, accelerators: 0 } }), 'red')
  world.addJob(createSpec({ name: 'fill', resources: CORE }), 'red')
  world.decide()
  const heavy = world.addJob(createSpec({ name: 'heavy', resources: { processors: 1, memoryMb: 5000, accelerators: 0 } }), 'blue')
  const light = world.addJob(createSpec({ name: 'light', resources: { processors: 10, memoryMb: 3000, accelerators: 0 } }), 'blue')
  const urgent = world.addJob(createSpec({ name: 'urgent', priority: 'urgent', resources: { processors: 1, memoryMb: 4000, accelerators: 0 } }), 'blue')
  const answers = world.addJob(createSpec({ name: 'answers', kind: 'service', resources: { processors: 1, memoryMb: 3000, accelerators: 0 } }), 'blue')
  world.decide()
  assert.equal([heavy, light, urgent, answers].map((job) => listPhases(world, job)[0]), ['queued', 'assigned', 'assigned', 'assigned'])
  world.setWorker(createWorker('plain', { processors: 16, memoryMb: 64_000, accelerators: 0 }))
  world.decide()
  assert.equal(listPhases(world, heavy), ['assigned'])
})

test('urgent work stops the least lost work and starts when it is over', () => {
  const world = createWorld()
  const plain = world.addJob(createSpec({ name: 'plain', resources: CORE, taskCount: 3 }), 'red')
  const saved = world.addJob(createSpec({ name: 'saved', resources: CORE, checkpointable: true }), 'red')
  world.decide()
  world.syncWorker('w0')
  world.nowMs = 30_000
  const urgent = world.addJob(createSpec({ resources: CORE, priority: 'urgent' }), 'blue')
  world.decide()
  assert.equal(listPhases(world, saved), ['stopping'])
  assert.equal(listPhases(world, plain), ['assigned', 'assigned', 'assigned'])
  world.nowMs += 600
  world.syncWorker('w0')
  world.decide()
  assert.equal(listPhases(world, urgent), ['assigned'])
})

test('of work that cannot be saved, the youngest makes way', () => {
  const world = createWorld()
  world.addJob(createSpec({ name: 'old', resources: CORE, taskCount: 3 }), 'red')
  world.decide()
  world.syncWorker('w0')
  world.nowMs = 25_000
  const young = world.addJob(createSpec({ name: 'young', resources: CORE }), 'red')
  world.decide()
  world.syncWorker('w0')
  world.nowMs = 30_000
  world.addJob(createSpec({ resources: CORE, priority: 'urgent' }), 'blue')
  world.decide()
  assert.equal(listPhases(world, young), ['stopping'])
})

test('urgent work seeks other room when a worker does not free it in time', () => {
  const world = createWorld(2)
  world.addJob(createSpec({ resources: FOUR, taskCount: 2 }), 'red')
  world.decide()
  for (const id of ['w0', 'w1']) world.syncWorker(id)
  const urgent = world.addJob(createSpec({ resources: CORE, priority: 'urgent' }), 'blue')
  const [stop] = world.decide()
  assert.is(stop?.kind, 'stop')
  const silent = stop?.kind === 'stop' ? stop.worker : ''
  world.nowMs = 1600
  world.decide()
  world.syncWorker(silent === 'w0' ? 'w1' : 'w0')
  world.decide()
  assert.equal(listPhases(world, urgent), ['assigned'])
  assert.is.not(world.scheduler.readJobState(urgent)!.tasks[0]!.worker, silent)
})

test('a worker that fails everything is left out and probed with one task later', () => {
  const world = createWorld(4)
  world.setWorker({ ...world.workers.get('w0')!, schedulable: false })
  for (let number = 0; number < 3; number++) {
    world.addJob(createSpec({ name: `job-${number}`, resources: FOUR, maxRetries: 20 }), 'red')
  }
  world.decide()
  for (const id of ['w1', 'w2', 'w3']) world.syncWorker(id)
  world.setWorker({ ...world.workers.get('w0')!, schedulable: true })
  for (let failures = 0; failures < 3; failures++) {
    const job = world.addJob(createSpec({ name: `bad-${failures}`, resources: FOUR, maxRetries: 20 }), 'red')
    world.decide()
    world.syncWorker('w0')
    world.endAttempt('w0', 0, 'failed')
    world.cancelJob(job)
  }
  world.addJob(createSpec({ resources: CORE, taskCount: 4 }), 'red')
  world.decide()
  assert.is(world.scheduler.listDesired('w0').run.length, 0)
  world.nowMs = 61_000
  world.decide()
  assert.is(world.scheduler.listDesired('w0').run.length, 1)
  world.syncWorker('w0')
  world.endAttempt('w0', 0, 'completed')
  world.decide()
  assert.is(world.scheduler.listDesired('w0').run.length, 3)
})

test('a job that fails everywhere stops with the reason', () => {
  const world = createWorld(4)
  const job = world.addJob(createSpec({ resources: FOUR, taskCount: 12, maxRetries: 1 }), 'red')
  for (let round = 0; round < 10; round++) {
    world.decide()
    for (const id of ['w0', 'w1', 'w2', 'w3']) {
      world.syncWorker(id)
      world.endAttempt(id, 0, 'failed')
    }
  }
  assert.is(world.scheduler.readJobState(job)!.phase, 'failed')
  assert.match(world.scheduler.explainJob(job, 0)!.summary, 'fails everywhere')
})

test('a service spreads over failure domains', () => {
  const world = createWorld(6)
  const service = world.addJob(createSpec({ kind: 'service', resources: CORE, taskCount: 6 }), 'red')
  world.decide()
  const domains = world.scheduler.readJobState(service)!.tasks.map(({ worker }) => world.workers.get(worker!)!.failureDomain)
  assert.equal(['d0', 'd1', 'd2'].map((domain) => domains.filter((used) => used === domain).length), [2, 2, 2])
})

test('services and saved work leave a draining worker, other work runs to its end', () => {
  const world = createWorld()
  const kinds = [{ kind: 'service' as const }, { checkpointable: true }, { checkpointable: false }]
  const jobs = kinds.map((kind, number) => world.addJob(createSpec({ name: `job-${number}`, resources: CORE, ...kind }), 'red'))
  world.decide()
  world.syncWorker('w0')
  world.setWorker(createWorker('w1', FOUR))
  world.setWorker({ ...world.workers.get('w0')!, schedulable: false, draining: true })
  world.decide()
  assert.equal(jobs.map((job) => listPhases(world, job)[0]), ['stopping', 'stopping', 'assigned'])
  world.syncWorker('w0')
  world.decide()
  assert.equal(jobs.map((job) => world.scheduler.readJobState(job)!.tasks[0]!.worker), ['w1', 'w1', 'w0'])
})

test('a team that was behind in the window gets the room that comes free', () => {
  const world = createWorld()
  world.addJob(createSpec({ resources: CORE, taskCount: 100 }), 'red')
  world.decide()
  world.nowMs = 3_600_000
  const late = world.addJob(createSpec({ resources: CORE, taskCount: 4, runTimeMs: 1e6 }), 'blue')
  world.syncWorker('w0')
  endAll(world, 'w0', 4)
  world.decide()
  assert.equal(listPhases(world, late), ['assigned', 'assigned', 'assigned', 'assigned'])
})

test('what can never run is named', () => {
  const workers = [createWorker('w0', FOUR), createWorker('w1', { processors: 2, memoryMb: 64_000, accelerators: 1 })]
  const find = (resources: Resources, rest = {}): string | undefined =>
    findNeverFits(createSpec({ resources, ...rest }), workers)?.resource
  assert.is(find({ ...CORE, processors: 5 }), 'processors')
  assert.is(find({ ...CORE, accelerators: 2 }), 'accelerators')
  assert.is(find({ processors: 4, memoryMb: 60_000, accelerators: 0 }), 'processors')
  assert.is(find(CORE, { pool: 'none' }), 'pool')
  assert.is(find(FOUR, { kind: 'gang', taskCount: 2 }), 'gang')
  assert.is(find(FOUR, { taskCount: 2 }), undefined)
})

test.run()
