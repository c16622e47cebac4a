/** One term of the scheduler role. Each cycle reads jobs, decides, commits, and only then sends desired sets to the owners. */
import {
  createDisposableStore, subtractResources,
  type CellScheduler, type CellSchedulerOptions, type Clock, type ConfigDocument, type Disposable, type EventLog, type Random, type Resources,
  type SchedulerDecision, type Vm, type WorkerDesired, type WorkerObserved
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import type { ConfigStore } from '../ports.js'
import { createSerialLoop } from '../process/serialLoop.js'
import type { HeldRole } from './schedulerRole.js'
import {
  BUSY_CYCLE_PAUSE_MS, IDLE_CYCLE_PAUSE_MS, JOB_POLL_INTERVAL_MS, JOB_RETENTION_MS, MAX_DECISIONS_PER_CYCLE, WORKER_UPDATE_INTERVAL_MS
} from './constants.js'
import { jobEnded, taskPlaced, taskStopping, workerTasksLost } from './events.js'
import { createGangBarrier } from './gangBarrier.js'
import { createJobFeed, type JobChanges } from './jobFeed.js'
import { createShareUsageStore } from './shareUsageStore.js'
import { createStateCommitter, type CommitOutcome, type StateChange } from './stateCommitter.js'
import { createWorkerTracker } from './workerTracker.js'

/** Options of a scheduler term. */
export interface SchedulerTermOptions {
  readonly role: HeldRole
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  readonly config: ConfigStore
  /** Creates a scheduler without jobs, optionally with the share usage stored by the previous holder. */
  readonly createScheduler: (options: CellSchedulerOptions) => CellScheduler
  /** Lists the VMs of the platform's list as of the last read. */
  readonly listVms: () => readonly Vm[]
  /** Whether an incarnation is this process or a peer with a live link. */
  readonly isLinked: (incarnation: string) => boolean
  readonly sendDesired: (incarnation: string, message: WorkerDesired) => void
  /** Called when a commit conflicts, which means that the role may be lost. */
  readonly onCommitConflict: () => void
}

/** Running term of the scheduler role. */
export interface SchedulerTerm extends Disposable {
  recordObserved: (message: WorkerObserved, owner: string) => void
  /** Schedules a read of job and cancellation rows. */
  recordJobsChanged: () => void
  /** Returns the scheduler, or `null` until all jobs are read. */
  readScheduler: () => CellScheduler | null
}

/** Computes the task capacity of a VM: its resources minus the reserves of the services that run there. */
export function computeTaskCapacity (vm: Vm, document: ConfigDocument): Resources {
  let capacity = vm.resources
  for (const service of document.manifest.services) {
    if (vm.runners.some((runner) => runner.service === service.name)) capacity = subtractResources(capacity, service.reserve)
  }
  return {
    processors: Math.max(0, capacity.processors),
    memoryMb: Math.max(0, capacity.memoryMb),
    accelerators: Math.max(0, capacity.accelerators)
  }
}

/** Starts a term. */
export function createSchedulerTerm (options: SchedulerTermOptions): SchedulerTerm {
  const { clock, events } = options
  const disposables = createDisposableStore()
  const feed = createJobFeed(options.platform, events)
  const shareUsageStore = createShareUsageStore(options)
  let scheduler = options.createScheduler({})
  let usageLoaded = false
  const workerTracker = createWorkerTracker({ ...options, cellEpoch: options.role.epoch, isHeld: (id) => gangBarrier.isHeld(id) })
  const gangBarrier = createGangBarrier({ readScheduler: () => scheduler, isConfirmed: workerTracker.isConfirmed })
  const endedAtMs = new Map<string, number>()
  const knownWorkers = new Set<string>()
  let disposed = false
  let jobsLoaded = false
  let jobsChanged = true
  let lastJobReadMs = -Infinity
  let appliedDocument: ConfigDocument | null = null
  let workersAppliedMs = -Infinity
  const committer = createStateCommitter({ ...options, isDisposed: () => disposed })

  const stopTerm = (): void => {
    disposed = true
    disposables.dispose()
  }

  const applyJobChanges = (changes: JobChanges): void => {
    const nowMs = clock.nowMs()
    for (const job of changes.newJobs) {
      if (job.stateVersion > 0) committer.setVersion(job.id, job.stateVersion)
      scheduler.addJob(job.id, job.row, job.state, nowMs)
      // The previous holder may have failed before releasing the gang; a report of a running member lifts the hold.
      if (job.row.spec.kind === 'gang') gangBarrier.addGang(job.id)
      if (job.cancelled) scheduler.cancelJob(job.id, nowMs)
      if (isEnded(job.state?.phase)) endedAtMs.set(job.id, nowMs)
    }
    for (const id of changes.cancelledJobs) if (!endedAtMs.has(id)) scheduler.cancelJob(id, nowMs)
  }

  /** Reads share usage before any job, because a scheduler accepts it only at creation. */
  const readUsage = async (): Promise<void> => {
    const usage = await shareUsageStore.readUsage()
    if (usage.isErr()) return
    if (usage.value !== undefined) scheduler = options.createScheduler({ shareUsage: usage.value })
    usageLoaded = true
  }

  const readJobs = async (): Promise<void> => {
    if (!jobsChanged && clock.nowMs() - lastJobReadMs < JOB_POLL_INTERVAL_MS) return
    jobsChanged = false
    lastJobReadMs = clock.nowMs()
    const changes = await feed.readChanges()
    if (changes === null) return
    applyJobChanges(changes)
    jobsLoaded = true
  }

  const dropWorker = (worker: string, reason: string): void => {
    events.record(workerTasksLost, { worker, reason })
    scheduler.recordWorkerLost(worker, clock.nowMs())
    scheduler.removeWorker(worker)
    workerTracker.removeWorker(worker)
    knownWorkers.delete(worker)
  }

  const applyVm = (vm: Vm, document: ConfigDocument): void => {
    if (vm.state === 'gone') {
      if (knownWorkers.has(vm.id)) dropWorker(vm.id, 'VM is gone')
      else scheduler.recordWorkerLost(vm.id, clock.nowMs())
      return
    }
    knownWorkers.add(vm.id)
    const drained = document.drainedVms.includes(vm.id)
    scheduler.setWorker({
      id: vm.id,
      failureDomain: vm.failureDomain,
      rack: vm.rack,
      pool: vm.pool,
      capacity: computeTaskCapacity(vm, document),
      schedulable: vm.state === 'live' && !drained && workerTracker.isReachable(vm.id),
      draining: drained || vm.state === 'leaving'
    })
  }

  const applyWorkers = (document: ConfigDocument): void => {
    if (document !== appliedDocument) scheduler.setManifest(document.manifest)
    else if (clock.nowMs() - workersAppliedMs < WORKER_UPDATE_INTERVAL_MS) return
    appliedDocument = document
    workersAppliedMs = clock.nowMs()
    for (const vm of options.listVms()) applyVm(vm, document)
  }

  const recordDecision = (decision: SchedulerDecision): void => {
    if (decision.kind === 'jobEnded') {
      events.record(jobEnded, { job: decision.job, team: decision.team, phase: decision.phase, reason: decision.reason })
      return
    }
    workerTracker.addDirty(decision.worker)
    if (decision.kind === 'stop') {
      events.record(taskStopping, { ...decision.id, team: decision.team, worker: decision.worker, checkpoint: decision.checkpoint, reason: decision.reason })
      return
    }
    if (scheduler.readJobRow(decision.id.job)?.spec.kind === 'gang') gangBarrier.addGang(decision.id.job)
    events.record(taskPlaced, { ...decision.id, team: decision.team, worker: decision.worker, reason: decision.reason, losers: decision.losers })
  }

  const collectChanges = (): StateChange[] => {
    const changes: StateChange[] = []
    const nowMs = clock.nowMs()
    for (const job of scheduler.takeChangedJobs()) {
      const state = scheduler.readJobState(job)
      if (state === undefined) continue
      if (isEnded(state.phase) && !endedAtMs.has(job)) endedAtMs.set(job, nowMs)
      changes.push({ job, state })
    }
    for (const [job, atMs] of endedAtMs) {
      if (nowMs - atMs < JOB_RETENTION_MS) break
      endedAtMs.delete(job)
      scheduler.forgetJob(job)
      changes.push({ job, state: null })
    }
    return changes
  }

  const commitDecisions = async (): Promise<CommitOutcome> => {
    workerTracker.recordCommitStart()
    const changes = collectChanges()
    return changes.length === 0 ? 'committed' : await committer.commitChanges(changes)
  }

  const runCycle = async (): Promise<void> => {
    if (!usageLoaded) await readUsage()
    if (usageLoaded) await readJobs()
    const document = options.config.readDocument()
    if (disposed || !jobsLoaded || document === null) return
    applyWorkers(document)
    const decisions = scheduler.decide(clock.nowMs(), clock.wallMs(), MAX_DECISIONS_PER_CYCLE)
    for (const decision of decisions) recordDecision(decision)
    const outcome = await commitDecisions()
    if (disposed) return
    if (outcome === 'deposed') {
      // The decisions are not in the table and must not be sent.
      stopTerm()
      options.onCommitConflict()
      return
    }
    workerTracker.sendDirty(scheduler)
    releaseGangs()
    shareUsageStore.writeIfDue(scheduler.readShareUsage)
    if (decisions.length > 0) loop.wake()
  }

  /** Releases confirmed gangs; no commit is needed because the assignments are in the table already. */
  const releaseGangs = (): void => {
    const workers = gangBarrier.releaseReady()
    for (const worker of workers) workerTracker.addDirty(worker)
    if (workers.length > 0) loop.wake()
  }

  const recordObserved = (message: WorkerObserved, owner: string): void => {
    const { worker } = message
    const previousState = workerTracker.readRecord(worker)?.observed.state
    if (disposed || !workerTracker.recordObserved(message, owner)) return
    const nowMs = clock.nowMs()
    if (message.state === 'lost') {
      if (previousState !== 'lost') events.record(workerTasksLost, { worker, reason: 'task lease expired' })
      scheduler.recordWorkerLost(worker, nowMs)
    }
    for (const id of message.running) {
      gangBarrier.recordRunning(id)
      scheduler.recordStarted(id, worker, nowMs)
    }
    for (const usage of message.usage) scheduler.recordUsage(usage, worker, nowMs)
    for (const ended of message.ended) {
      if (ended.result !== 'refused') gangBarrier.recordRunning(ended.id)
      scheduler.recordEnded(ended, worker, nowMs)
      workerTracker.addEnded(worker, ended.id)
    }
    if (message.ended.length > 0) loop.wake()
    releaseGangs()
  }

  const loop = createSerialLoop({
    clock,
    readPauseMs: () => jobsChanged ? BUSY_CYCLE_PAUSE_MS : IDLE_CYCLE_PAUSE_MS,
    runStep: runCycle
  })
  disposables.add(loop)

  return {
    // Until all jobs are read, an ended attempt cannot be distinguished from an unknown one.
    recordObserved: (message, owner) => { if (jobsLoaded) recordObserved(message, owner) },
    recordJobsChanged: () => {
      jobsChanged = true
      loop.wake()
    },
    readScheduler: () => jobsLoaded ? scheduler : null,
    dispose: stopTerm
  }
}

function isEnded (phase: string | undefined): boolean {
  return phase === 'completed' || phase === 'failed' || phase === 'cancelled'
}
