/** Simulation around the scheduler for property tests: workers that apply their desired state with delay, and invariant checks. */
import * as assert from 'uvu/assert'
import type { CellScheduler, SchedulerWorker } from '../cellScheduler.js'
import { createCellScheduler } from '../createCellScheduler.js'
import type { JobRow, JobSpec, JobStateRow } from '../../schema/job.js'
import type { EndedTask } from '../../schema/linkMessage.js'
import type { Manifest, Team } from '../../schema/manifest.js'
import { addResources, hasRoomFor, NO_RESOURCES, type Resources } from '../../schema/resources.js'

export const DAY_MS = 86_400_000

export function createTeam (name: string, share: number, ceiling: Resources): Team {
  return {
    name,
    share,
    ceiling: { resources: ceiling, requests: 0 },
    limits: { queuedRequests: 1, requestsPerS: 1, activeJobs: 1000 },
    open: false,
    whenCut: 'serve',
    keys: []
  }
}

export function createManifest (teams: Team[]): Manifest {
  return { cell: 'test', shareWindow: { endMinuteOfDay: 360, lengthMinutes: 720 }, teams, services: [] }
}

export const AMPLE_CEILING: Resources = { processors: 1e6, memoryMb: 1e9, accelerators: 1e4 }

export function createSpec (spec: Partial<JobSpec>): JobSpec {
  return {
    name: 'covers',
    kind: 'batch',
    priority: 'normal',
    taskCount: 1,
    resources: { processors: 1, memoryMb: 1024, accelerators: 0 },
    runTimeMs: 60_000,
    maxRetries: 2,
    checkpointable: false,
    payload: '',
    ...spec
  }
}

export function createWorker (id: string, capacity: Resources, overrides: Partial<SchedulerWorker> = {}): SchedulerWorker {
  return { id, failureDomain: 'a', rack: 'r1', pool: 'plain', capacity, schedulable: true, ...overrides }
}

/** Attempt that a simulated worker runs, keyed by `job/task`. */
interface RunningAttempt { readonly attempt: number, readonly resources: Resources }

/** Scheduler with simulated workers, which apply their desired state on `syncWorker`; invariants are checked on each step. */
export class SchedulerSimulation {
  scheduler: CellScheduler = createCellScheduler()
  nowMs = 0
  readonly workers = new Map<string, SchedulerWorker>()
  readonly running = new Map<string, Map<string, RunningAttempt>>()
  readonly jobs = new Map<string, JobRow>()
  readonly highestAttempt = new Map<string, number>()
  private readonly ended: EndedTask[] = []
  private readonly cancelled = new Set<string>()

  constructor (readonly manifest: Manifest, workers: readonly SchedulerWorker[]) {
    this.scheduler.setManifest(manifest)
    for (const worker of workers) this.setWorker(worker)
  }

  setWorker (worker: SchedulerWorker): void {
    this.workers.set(worker.id, worker)
    if (!this.running.has(worker.id)) this.running.set(worker.id, new Map())
    this.scheduler.setWorker(worker)
  }

  addJob (spec: JobSpec, team: string): string {
    const id = `job${String(this.jobs.size).padStart(4, '0')}`
    const row = { team, spec, acceptedAtMs: this.nowMs }
    this.jobs.set(id, row)
    this.scheduler.addJob(id, row, undefined, this.nowMs)
    return id
  }

  cancelJob (id: string): void {
    this.cancelled.add(id)
    this.scheduler.cancelJob(id, this.nowMs)
    const { tasks } = this.scheduler.readJobState(id)!
    assert.not(tasks.some(({ phase }) => phase === 'queued' || phase === 'assigned'), `${id} continues after its cancellation`)
  }

  decide (max = 10_000): ReturnType<CellScheduler['decide']> {
    const decisions = this.scheduler.decide(this.nowMs, DAY_MS + this.nowMs, max)
    this.checkInvariants()
    return decisions
  }

  /** Applies the worker's desired state: stops attempts, reports the stops, starts attempts. */
  syncWorker (id: string): void {
    const running = this.running.get(id)!
    for (const { id: attempt } of this.scheduler.listDesired(id).end) {
      running.delete(`${attempt.job}/${attempt.task}`)
      this.scheduler.recordEnded({ id: attempt, result: 'stopped', ranMs: 1 }, id, this.nowMs)
    }
    for (const { id: attempt, job } of this.scheduler.listDesired(id).run) {
      const key = `${attempt.job}/${attempt.task}`
      if (running.get(key)?.attempt === attempt.attempt) continue
      this.checkStart(id, key, attempt.attempt)
      running.set(key, { attempt: attempt.attempt, resources: job.spec.resources })
      this.scheduler.recordStarted(attempt, id, this.nowMs)
    }
    this.checkRunning(id)
  }

  /** Ends the attempt at an index among those that run on the worker. */
  endAttempt (worker: string, pick: number, result: EndedTask['result'], ranMs = 1000): void {
    const running = this.running.get(worker)!
    const keys = [...running.keys()]
    const key = keys[pick % Math.max(1, keys.length)]
    if (key === undefined) return
    const [job, task] = key.split('/')
    const id = { job: job!, task: Number(task), attempt: running.get(key)!.attempt }
    running.delete(key)
    this.ended.push({ id, result, ranMs })
    this.scheduler.recordEnded({ id, result, ranMs }, worker, this.nowMs)
  }

  /** Delivers a delayed report again, possibly from the wrong worker. */
  redeliverEnded (pick: number, worker: string): void {
    const ended = this.ended.at(-1 - pick)
    if (!ended) return
    const before = [...this.readStates()]
    this.scheduler.recordEnded(ended, worker, this.nowMs)
    assert.equal([...this.readStates()], before)
  }

  loseWorker (id: string): void {
    this.running.get(id)!.clear()
    this.scheduler.recordWorkerLost(id, this.nowMs)
    assert.equal(this.scheduler.listDesired(id), { run: [], end: [] })
  }

  /** Replaces the scheduler by one restored from the committed rows, as on a takeover by another entry. */
  restoreFromRows (): void {
    const before = this.readStates()
    const next = createCellScheduler({ shareUsage: this.scheduler.readShareUsage() })
    next.setManifest(this.manifest)
    for (const [id, row] of this.jobs) next.addJob(id, row, before.get(id), this.nowMs)
    for (const id of this.cancelled) next.cancelJob(id, this.nowMs)
    for (const worker of this.workers.values()) next.setWorker(worker)
    const desired = [...this.workers.keys()].map((id) => sortDesired(this.scheduler, id))
    this.scheduler = next
    assert.equal([...this.readStates()], [...before])
    assert.equal([...this.workers.keys()].map((id) => sortDesired(next, id)), desired)
  }

  readStates (): Map<string, JobStateRow> {
    return new Map([...this.jobs.keys()].map((id) => [id, this.scheduler.readJobState(id)!]))
  }

  /** Checks invariants of the committed states: capacity, ceilings, and that no gang runs in part. */
  checkInvariants (): void {
    const byWorker = new Map<string, Resources>()
    const byTeam = new Map<string, Resources>()
    for (const [id, row] of this.jobs) {
      const state = this.scheduler.readJobState(id)!
      const phases = state.tasks.map((task) => task.phase)
      if (row.spec.kind === 'gang') assert.not(phases.includes('assigned') && phases.includes('queued'), `gang ${id} runs in part`)
      for (const task of state.tasks) {
        if (task.phase !== 'assigned' && task.phase !== 'stopping') continue
        addTo(byWorker, task.worker!, toMillicores(row.spec.resources))
        addTo(byTeam, row.team, toMillicores(row.spec.resources))
      }
    }
    for (const [id, used] of byWorker) assert.ok(hasRoomFor(toMillicores(this.workers.get(id)!.capacity), used), `${id} over capacity`)
    for (const team of this.manifest.teams) {
      const used = byTeam.get(team.name) ?? NO_RESOURCES
      assert.ok(hasRoomFor(toMillicores(team.ceiling.resources), used), `${team.name} over its ceiling`)
    }
  }

  private checkStart (worker: string, key: string, attempt: number): void {
    for (const [other, running] of this.running) {
      assert.not(running.has(key), `${key} starts on ${worker} and runs on ${other}`)
    }
    assert.is(attempt > (this.highestAttempt.get(key) ?? 0), true, `${key} starts attempt ${attempt} again`)
    this.highestAttempt.set(key, attempt)
  }

  private checkRunning (id: string): void {
    let used = NO_RESOURCES
    for (const { resources } of this.running.get(id)!.values()) used = addResources(used, toMillicores(resources))
    assert.ok(hasRoomFor(toMillicores(this.workers.get(id)!.capacity), used), `${id} runs beyond its capacity`)
  }
}

/** Converts processors to thousandths, so that sums of decimal fractions are exact. */
function toMillicores (resources: Resources): Resources {
  return { ...resources, processors: Math.round(resources.processors * 1000) }
}

function addTo (sums: Map<string, Resources>, key: string, amount: Resources): void {
  sums.set(key, addResources(sums.get(key) ?? NO_RESOURCES, amount))
}

function sortDesired (scheduler: CellScheduler, worker: string): unknown {
  const { run, end } = scheduler.listDesired(worker)
  const compareIds = (a: { id: { job: string, task: number } }, b: { id: { job: string, task: number } }): number =>
    a.id.job < b.id.job ? -1 : a.id.job > b.id.job ? 1 : a.id.task - b.id.task
  return { run: [...run].sort(compareIds), end: [...end].sort(compareIds) }
}
