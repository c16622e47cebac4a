/** Property tests of the partition planner against a simulated set of workers, checking the scheduling invariants. */
import * as fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Resources } from '../../schema/resources.js'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { createTestStep, createTestStepJob } from '../../testing/stepJobs.js'
import { ACCEPTED_STATE, createCeilingTurns, createPartitionPlanner, planClaims, computeClaimLimits, NO_CLAIMS, type CeilingTurns, type ClaimsRow, type JobStep, type ListedEnd, type ListedRun, type RunName, type StartOrder, type StepJob } from '../index.js'

const WORKERS = ['w1', 'w2', 'w3']
const CAPACITY: Resources = { processors: 8, memoryMb: 8192, accelerators: 2 }
const LIMIT: Resources = { processors: 16, memoryMb: 20_000, accelerators: 4 }
const MAX_ATTEMPTS = 2
/** Crashes under a task from which it may be given up, by the users' rule. */
const MIN_CRASHES_TO_GIVE_UP = 2

const stepArbitrary = fc.record({
  taskCount: fc.integer({ min: 1, max: 4 }),
  processors: fc.integer({ min: 1, max: 4 }),
  accelerators: fc.integer({ min: 0, max: 1 }),
  gang: fc.boolean(),
  longRunning: fc.nat({ max: 9 }).map((roll) => roll === 0),
  savesWork: fc.boolean(),
  maxPerWorker: fc.integer({ min: 0, max: 2 })
})

const eventArbitrary = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('submit' as const), steps: fc.array(stepArbitrary, { minLength: 1, maxLength: 3 }), priority: fc.integer({ min: 0, max: 2 }), team: fc.constantFrom('a', 'b') }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('end' as const), pick: fc.nat(), how: fc.constantFrom('done' as const, 'done' as const, 'failed' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cancel' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), pick: fc.nat() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('drain' as const), pick: fc.nat(), draining: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('takeOver' as const) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 900 }) }) }
)

type Simulation = ReturnType<typeof createSimulation>

function buildStep (shape: { taskCount: number, processors: number, accelerators: number, gang: boolean, longRunning: boolean, savesWork: boolean, maxPerWorker: number }, index: number): JobStep {
  return createTestStep({
    taskCount: shape.taskCount,
    resources: { processors: shape.processors, memoryMb: 512, accelerators: shape.accelerators },
    estimateMs: 500,
    after: index === 0 ? [] : [index - 1],
    gang: shape.gang && !shape.longRunning,
    maxPerWorker: shape.gang ? 0 : shape.maxPerWorker,
    longRunning: shape.longRunning,
    savesWork: shape.savesWork
  })
}

/** Simulated workers that obey every order, with the state that the invariants are checked against. */
function createSimulation () {
  let planner = createPartitionPlanner()
  const specs = new Map<string, StepJob>()
  const running = new Map<string, StartOrder>()
  const ended = new Map<string, ListedEnd[]>(WORKERS.map((id) => [id, []]))
  const draining = new Set<string>()
  const done = new Set<string>()
  const failures = new Map<string, number>()
  /** Workers that restarted while a task ran there, by task. */
  const crashes = new Map<string, number>()
  const cancelled = new Set<string>()
  let nowMs = 1000
  let lastNumber = 0
  const formatTask = (run: RunName): string => `${run.job}.${run.occurrence}.${run.step}.${run.index}`

  const readStep = (run: RunName): JobStep => specs.get(run.job)!.steps[run.step]!
  const sum = (orders: Iterable<StartOrder>): Resources => {
    const total = { processors: 0, memoryMb: 0, accelerators: 0 }
    for (const order of orders) {
      const { resources } = readStep(order)
      total.processors += resources.processors
      total.memoryMb += resources.memoryMb
      total.accelerators += resources.accelerators
    }
    return total
  }

  const checkStart = (order: StartOrder): void => {
    const name = formatTask(order)
    const spec = specs.get(order.job)!
    assert.not(running.has(name), `TWICE: ${name} runs already`)
    assert.not(done.has(name), `TWICE: ${name} was done`)
    assert.not(cancelled.has(order.job), `UNASKED: ${order.job} was cancelled`)
    assert.not(draining.has(order.worker), `DRAIN: ${order.worker}`)
    for (const earlier of readStep(order).after) {
      for (let index = 0; index < spec.steps[earlier]!.taskCount; index++) {
        assert.ok(done.has(`${order.job}.${order.occurrence}.${earlier}.${index}`), `ORDER: ${name} before step ${earlier}`)
      }
    }
    if (!readStep(order).longRunning) assert.ok((failures.get(name) ?? 0) < MAX_ATTEMPTS, `BUDGET: ${name}`)
    running.set(name, order)
    const here = [...running.values()].filter((other) => other.worker === order.worker)
    const used = sum(here)
    assert.ok(used.processors <= CAPACITY.processors && used.memoryMb <= CAPACITY.memoryMb && used.accelerators <= CAPACITY.accelerators, `LIMIT: ${order.worker}`)
    const team = sum([...running.values()].filter((other) => specs.get(other.job)!.team === spec.team))
    assert.ok(team.processors <= LIMIT.processors && team.accelerators <= LIMIT.accelerators, `QUOTA: ${spec.team}`)
    const { maxPerWorker } = readStep(order)
    const ofStep = here.filter((other) => other.job === order.job && other.step === order.step && other.occurrence === order.occurrence)
    if (maxPerWorker > 0) assert.ok(ofStep.length <= maxPerWorker, `ROUTE: ${name} exceeds maxPerWorker`)
  }

  const finish = (order: StartOrder, how: ListedEnd['how']): void => {
    const name = formatTask(order)
    running.delete(name)
    lastNumber++
    const { job, occurrence, step, index, run } = order
    ended.get(order.worker)!.push({ job, occurrence, step, index, run, number: lastNumber, how, saved: readStep(order).savesWork ? `s${lastNumber}` : '' })
    if (how === 'done' && !readStep(order).longRunning) done.add(name)
  }

  const listGang = (order: StartOrder): StartOrder[] => [...running.values()].filter((other) => readStep(order).gang &&
    other !== order && other.job === order.job && other.step === order.step && other.occurrence === order.occurrence)

  const endRun = (order: StartOrder, how: 'done' | 'failed' | 'stopped'): void => {
    const gang = listGang(order)
    if (how === 'failed') for (const member of [order, ...gang]) failures.set(formatTask(member), (failures.get(formatTask(member)) ?? 0) + 1)
    finish(order, how)
    for (const member of gang) finish(member, how === 'done' ? 'done' : 'broken')
  }

  const report = (): void => {
    for (const worker of WORKERS) {
      const list = [...running.values()].filter((order) => order.worker === worker)
        .map(({ job, occurrence, step, index, run }): ListedRun => ({ job, occurrence, step, index, run, saved: '', percent: 10, load: 0 }))
      const strays = planner.recordReport(worker, { requestedAtMs: nowMs, running: list, ended: ended.get(worker)!.splice(0), hasMoreEnds: false }, nowMs, nowMs)
      assert.is(strays.length, 0, 'the planner does not know a running task')
    }
  }

  const plan = (): void => {
    nowMs++
    const { starts, stops } = planner.decide(nowMs, nowMs, () => true)
    const gangs = new Map<string, number>()
    for (const order of starts) {
      checkStart(order)
      planner.recordStartConfirmed(order, order.worker, nowMs)
      if (order.gang) gangs.set(`${order.job}.${order.step}`, (gangs.get(`${order.job}.${order.step}`) ?? 0) + 1)
    }
    for (const [gang, count] of gangs) {
      const [job, step] = gang.split('.')
      assert.is(count, specs.get(job!)!.steps[Number(step)]!.taskCount, `GANG: ${gang} started in part`)
    }
    for (const stop of stops) {
      const order = running.get(formatTask(stop))
      if (order !== undefined) endRun(order, 'stopped')
    }
    nowMs++
    report()
  }

  const setWorkers = (): void => {
    for (const id of WORKERS) {
      planner.setWorker({ id, failureDomain: 'a', labels: ['k', 'r'], capacity: CAPACITY, draining: draining.has(id) })
      planner.setSynced(id, true)
    }
    planner.setTeamLimits(new Map([['a', LIMIT], ['b', LIMIT]]))
  }
  setWorkers()

  return {
    specs,
    running,
    done,
    cancelled,
    failures,
    crashes,
    plan,
    endRun,
    submit: (steps: JobStep[], priority: number, team: string): void => {
      const id = `job${specs.size}`
      const spec = createTestStepJob(steps, { priority, maxAttempts: MAX_ATTEMPTS, stretch: 3, targetLatencyMs: 500 }, { team, acceptedAtMs: nowMs })
      specs.set(id, spec)
      planner.addJob(id, spec, ACCEPTED_STATE, nowMs)
    },
    cancel: (id: string): void => {
      if (planner.readPhase(id) !== 'queued' && planner.readPhase(id) !== 'running') return
      planner.cancelJob(id, nowMs)
      cancelled.add(id)
    },
    restart: (worker: string): void => {
      // The whole worker crashes at once, before the rest of its gangs is stopped elsewhere.
      const lost = [...running].filter(([, order]) => order.worker === worker)
      for (const [name] of lost) {
        running.delete(name)
        crashes.set(name, (crashes.get(name) ?? 0) + 1)
      }
      for (const [, order] of lost) {
        for (const member of listGang(order)) finish(member, 'broken')
      }
      ended.set(worker, [])
      planner.recordWorkerLost(worker, { kind: 'crashed', failedAtMs: nowMs, nowMs, wallMs: nowMs })
      planner.setSynced(worker, true)
    },
    setDraining: (worker: string, isDraining: boolean): void => {
      if (isDraining) draining.add(worker)
      else draining.delete(worker)
      setWorkers()
    },
    /** Replaces the planner by a successor that restores its state from the table's rows and the workers' reports. */
    takeOver: (): void => {
      const records = [...specs.keys()].map((id) => ({ id, record: planner.readRecord(id)!, crashRecord: planner.readCrashRecord(id) ?? [] }))
      planner = createPartitionPlanner()
      for (const { id, record, crashRecord } of records) planner.addJob(id, specs.get(id)!, JSON.parse(JSON.stringify(record)) as typeof record, nowMs, crashRecord)
      setWorkers()
      nowMs++
      report()
    },
    wait: (ms: number): void => { nowMs += ms },
    readPhase: (id: string) => planner.readPhase(id)
  }
}

function pickFrom<T> (items: readonly T[], pick: number): T | undefined {
  return items.length === 0 ? undefined : items[pick % items.length]
}

/** Completes every run that is not long-running until the simulation is idle. */
function drainSimulation (simulation: Simulation): void {
  for (const worker of WORKERS) simulation.setDraining(worker, false)
  for (let round = 0; round < 400; round++) {
    simulation.wait(50)
    simulation.plan()
    for (const order of [...simulation.running.values()]) if (!simulation.specs.get(order.job)!.steps[order.step]!.longRunning && simulation.running.has(`${order.job}.${order.occurrence}.${order.step}.${order.index}`)) simulation.endRun(order, 'done')
  }
}

test('scheduling invariants hold, and every job that can end does', () => {
  fc.assert(fc.property(fc.array(eventArbitrary, { maxLength: 60 }), (events) => {
    const simulation = createSimulation()
    for (const event of events) {
      if (event.kind === 'submit') simulation.submit(event.steps.map(buildStep), event.priority, event.team)
      else if (event.kind === 'wait') simulation.wait(event.ms)
      else if (event.kind === 'cancel') {
        const id = pickFrom([...simulation.specs.keys()], event.pick)
        if (id !== undefined) simulation.cancel(id)
      } else if (event.kind === 'restart') simulation.restart(pickFrom(WORKERS, event.pick)!)
      else if (event.kind === 'drain') simulation.setDraining(pickFrom(WORKERS, event.pick)!, event.draining)
      else if (event.kind === 'takeOver') simulation.takeOver()
      else {
        const order = pickFrom([...simulation.running.values()], event.pick)
        if (order !== undefined) simulation.endRun(order, event.how)
      }
      simulation.plan()
    }
    for (const [id, spec] of simulation.specs) if (spec.steps.some((step) => step.longRunning)) simulation.cancel(id)
    drainSimulation(simulation)
    for (const id of simulation.specs.keys()) {
      const phase = simulation.readPhase(id)
      if (phase === 'failed') {
        const hasReached = (counts: ReadonlyMap<string, number>, limit: number): boolean => [...counts].some(([task, count]) => task.startsWith(`${id}.`) && count >= limit)
        assert.ok(hasReached(simulation.failures, MAX_ATTEMPTS) || hasReached(simulation.crashes, MIN_CRASHES_TO_GIVE_UP), `LOST: ${id} failed without cause`)
        continue
      }
      assert.is(phase, simulation.cancelled.has(id) ? 'cancelled' : 'completed', `LOST: ${id} is ${String(phase)}`)
    }
    assert.is(simulation.running.size, 0)
  }), resolveFuzzOptions(61_027, 300))
})

test('the claims of all partitions never exceed a ceiling, even if writes are applied late', () => {
  const ceilings = new Map([['a', { processors: 100, memoryMb: Infinity, accelerators: 8 }]])
  const demandArbitrary = fc.record({ partition: fc.constantFrom('x', 'y', 'z'), used: fc.integer({ min: 0, max: 60 }), blocked: fc.integer({ min: 0, max: 80 }), isLate: fc.boolean() })
  fc.assert(fc.property(fc.array(demandArbitrary, { maxLength: 80 }), (rounds) => {
    let row: ClaimsRow = NO_CLAIMS
    let version = 0
    const late: { row: ClaimsRow, version: number }[] = []
    const commit = (next: ClaimsRow, from: number): void => {
      if (from !== version) return
      row = next
      version++
    }
    const share = { processors: 1 / 3, memoryMb: 1 / 3, accelerators: 1 / 3 }
    const turns = new Map<string, CeilingTurns>()
    let nowMs = 0
    for (const { partition, used, blocked, isLate } of rounds) {
      nowMs += 200
      const limit = computeClaimLimits(partition, 1, row, null, ceilings).get('a')!
      const runs = Math.min(used, limit.processors)
      const waiting = { processors: blocked, memoryMb: 0, accelerators: 0 }
      const demand = new Map([['a', { used: { processors: runs, memoryMb: 0, accelerators: 0 }, blocked: waiting, longestWaiting: blocked > 0 ? waiting : null }]])
      const own = turns.get(partition) ?? createCeilingTurns(partition)
      turns.set(partition, own)
      const next = planClaims({ partition, epoch: 1, row, ceilings, share, demand, turns: own.decide({ row, ceilings, demand, share, nowMs }) })
      if (next !== null && isLate) late.push({ row: next, version })
      else if (next !== null) commit(next, version)
      const landed = rounds.length % 3 === 0 ? late.shift() : late.pop()
      if (landed !== undefined) commit(landed.row, landed.version)
      let total = 0
      for (const section of Object.values(row.cells)) total += section.claims['a']?.[0] ?? 0
      assert.ok(total <= 100.000001, `claims of ${total}`)
    }
  }), resolveFuzzOptions(31_337, 400))
})

test.run()
