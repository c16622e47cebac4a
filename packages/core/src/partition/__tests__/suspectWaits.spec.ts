/** Load pattern: a burst of poison pills. Sound tasks that lay beside them are suspected, wait for workers set apart, and must not wait for long. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createSuspectWorld, type SuspectJob, type SuspectWorld } from '../../testing/suspectWorld.js'

/** A job must not have nothing running for longer while over half of the room is free, in milliseconds. */
const MAX_WAIT_MS = 3000
/** Starts of a task that crashes each of its workers, by the users' rule: three more after three crashes break it. */
const MAX_CRASHING_STARTS = 5
/** A long-running task runs again within 6 s after its last run, of which the loss of its worker takes 3.3 s. */
const MAX_LASTING_WAIT_MS = 2700
/** Each has eight cores, and each task takes one. */
const WORKERS = 60
const DURATION_MS = 2500
/** Objective of a job, in multiples of its duration. */
const STRETCH = 4
/** Crashes right after the start cast more suspicion than others. */
const AT_START = { crashes: 1, amount: 2 }
const LATER = { crashes: 2, amount: 2 }
/** As many crashes that prove nothing as the users' rule leaves room for. */
const UNPROVEN = { crashes: 3, amount: 3 }

interface Burst {
  /** Number of the first step; default 0. */
  readonly first?: number
  readonly steps: number
  /** Every so many steps, one task crashes its workers. */
  readonly badEvery: number
  readonly suspicion: SuspectJob['suspicion']
  readonly step?: SuspectJob['step']
  readonly durationMs?: number
}

function countTasks (number: number): number {
  return 1 + number % 3
}

function addBurst (world: SuspectWorld, { first = 0, steps, badEvery, suspicion, step = {}, durationMs = DURATION_MS }: Burst): SuspectJob[] {
  const jobs = Array.from({ length: steps }, (_, index): SuspectJob => {
    const number = first + index
    return { id: `j${number}`, step: { taskCount: countTasks(number), ...step }, durationMs, suspicion, isBad: number % badEvery === badEvery - 1 }
  })
  for (const job of jobs) world.addJob(job)
  return jobs
}

/** Occupies as many cores of each worker by long-running tasks that have run for a while. */
function addOtherWork (world: SuspectWorld, cores: number): void {
  world.addJob({ id: 'other', step: { taskCount: WORKERS * cores, maxPerWorker: cores, longRunning: true }, durationMs: 3_600_000 })
  world.runFor(2000)
}

function checkStarted (world: SuspectWorld, jobs: readonly SuspectJob[], sinceMs: number, maxWaitMs: number): void {
  const late: string[] = []
  for (const { id, step, isBad } of jobs) {
    if (isBad === true) continue
    for (let index = 0; index < step.taskCount!; index++) {
      const [startedAtMs = Infinity] = world.starts.get(`${id}.${index}`) ?? []
      if (startedAtMs - sinceMs > maxWaitMs) late.push(`${id}.${index} after ${startedAtMs - sinceMs} ms`)
    }
  }
  assert.equal(late, [], `started late: ${late.length}`)
}

// Guards against LOST: sound tasks that were suspected waited one after the other, the last ones for 20 s.
for (const [name, suspicion, steps] of [['right after their start', AT_START, 80], ['later', LATER, 40]] as const) {
  test(`the tasks of ${steps} steps beside a burst of tasks that crash workers run again within 3 s if half of the room is free (crashes ${name})`, () => {
    const world = createSuspectWorld(WORKERS)
    addOtherWork(world, 3)
    const sinceMs = world.nowMs
    const jobs = addBurst(world, { steps, badEvery: 8, suspicion })
    world.runFor(20_000)
    checkStarted(world, jobs, sinceMs, MAX_WAIT_MS)
  })
}

// Guards against LOST: long-running suspects waited for workers without other long-running tasks.
test('long-running tasks beside a burst of tasks that crash workers run again in time in a full partition', () => {
  const world = createSuspectWorld(WORKERS)
  addOtherWork(world, 6)
  for (let number = 0; number < 200; number++) world.addJob({ id: `sound${number}`, step: { taskCount: 4 }, durationMs: 1500, policy: { priority: 0 } })
  world.runFor(1000)
  const sinceMs = world.nowMs
  const jobs = addBurst(world, { steps: 40, badEvery: 8, suspicion: AT_START, step: { longRunning: true }, durationMs: 3_600_000 })
  world.runFor(20_000)
  checkStarted(world, jobs, sinceMs, MAX_LASTING_WAIT_MS)
})

test('long-running suspects run beside others that have run for a while', () => {
  const world = createSuspectWorld(4)
  const jobs = addBurst(world, { steps: 4, badEvery: 99, suspicion: AT_START, step: { longRunning: true, taskCount: 2, maxPerWorker: 1 }, durationMs: 3_600_000 })
  world.runFor(20_000)
  const sinceMs = world.nowMs
  const more = { ...jobs[1]!, id: 'last' }
  world.addJob(more)
  world.runFor(5000)
  checkStarted(world, [more], sinceMs, MAX_LASTING_WAIT_MS)
})

// Guards against LOST: gangs with suspects need several workers at once.
test('gangs beside a burst of tasks that crash workers run again within 3 s if half of the room is free', () => {
  const world = createSuspectWorld(WORKERS)
  addOtherWork(world, 3)
  const sinceMs = world.nowMs
  const jobs = addBurst(world, { steps: 8, badEvery: 99, suspicion: AT_START, step: { gang: true, taskCount: 6, resources: { processors: 2, memoryMb: 512, accelerators: 0 } } })
  world.runFor(20_000)
  checkStarted(world, jobs, sinceMs, MAX_WAIT_MS)
})

// Guards against LOST: more sound tasks were suspected than workers may be set apart, and the last ones waited for most of a minute (review/10).
for (const [name, suspicion] of [['right after their start', AT_START], ['later', LATER]] as const) {
  test(`the tasks of 60 sound steps run again within 3 s if half of the room is free, although they run for long (crashes ${name})`, () => {
    const world = createSuspectWorld(WORKERS)
    addOtherWork(world, 4)
    const sinceMs = world.nowMs
    const jobs = addBurst(world, { steps: 60, badEvery: Infinity, suspicion, durationMs: 4 * DURATION_MS })
    world.runFor(20_000)
    checkStarted(world, jobs, sinceMs, MAX_WAIT_MS)
  })
}

// Guards against LOST: the free room of held workers counted as used, so that tasks that may run apart only waited beside free workers (review/10).
test('tasks of 14 steps that have to run apart run again within 3 s if half of the room is free', () => {
  const world = createSuspectWorld(WORKERS)
  addOtherWork(world, 4)
  const sinceMs = world.nowMs
  const jobs = addBurst(world, { steps: 14, badEvery: Infinity, suspicion: UNPROVEN, durationMs: 4 * DURATION_MS })
  world.runFor(20_000)
  checkStarted(world, jobs, sinceMs, MAX_WAIT_MS)
})

// Guards against BUDGET: tasks that don't wait for a worker set apart any more crash the workers that they share with others.
for (const crashAfterMs of [0, 60]) {
  for (const fallsSilent of [false, true]) {
    test(`no task that crashes its workers after ${crashAfterMs} ms is started more than five times, however many wait (workers ${fallsSilent ? 'fall silent' : 'break connections'})`, () => {
      const world = createSuspectWorld(WORKERS / 2, { crashAfterMs, fallsSilent })
      const jobs: SuspectJob[] = []
      for (let burst = 0; burst < 40; burst++) {
        jobs.push(...addBurst(world, { first: jobs.length, steps: 7, badEvery: 5, suspicion: undefined, step: { taskCount: 4 + 3 * (burst % 3) }, durationMs: 300 + 300 * (burst % 4) }))
        world.runFor(500)
      }
      world.runFor(60_000)
      const counts = jobs.filter(({ isBad }) => isBad).map(({ id }) => world.starts.get(`${id}.0`)?.length ?? 0)
      assert.ok(Math.max(...counts) <= MAX_CRASHING_STARTS, `starts: ${counts.join(', ')}`)
      for (const { id, isBad } of jobs) assert.is(world.planner.readPhase(id), isBad === true ? 'failed' : 'completed', id)
    })
  }
}

// Other work of the same rank ends and starts all the time.
test('the tasks of 80 steps beside a burst of tasks that crash workers run again within their objective in a full partition', () => {
  const world = createSuspectWorld(WORKERS)
  for (let number = 0; number < 400; number++) world.addJob({ id: `sound${number}`, step: { taskCount: 8 }, durationMs: 1500 })
  world.runFor(1000)
  const sinceMs = world.nowMs
  const jobs = addBurst(world, { steps: 80, badEvery: 8, suspicion: AT_START })
  world.runFor(40_000)
  checkStarted(world, jobs, sinceMs, STRETCH * DURATION_MS)
})

test.run()
