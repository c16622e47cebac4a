/** One term of the scheduler role: reads jobs, decides, commits, and only then tells the owners. */
import {
  createDisposableStore, subtractResources,
  type CellScheduler, type CellSchedulerOptions, type Clock, type ConfigDocument, type Disposable, type EventLog, type Random, type Resources,
  type SchedulerDecision, type Vm, type WorkerDesired, type WorkerObserved
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import type { ConfigStore } from '../ports.js'
import { createSerialLoop } from '../process/serialLoop.js'
import type { HeldRole } from './cellRole.js'
import {
  BUSY_CYCLE_MS, IDLE_CYCLE_MS, JOB_POLL_MS, JOB_RETENTION_MS, MAX_DECISIONS_PER_CYCLE, WORKER_REVIEW_MS
} from './constants.js'
import { jobEnded, taskPlaced, taskStopping, workerTasksLost } from './events.js'
import { createGangGate } from './gangGate.js'
import { createJobFeed, type FeedNews } from './jobFeed.js'
import { createShareLedgerStore } from './shareLedger.js'
import { createStateCommitter, type CommitOutcome, type StateChange } from './stateCommitter.js'
import { createWorkerBook } from './workerBook.js'

/** Options of one term. */
export interface SchedulerTaskOptions {
  readonly role: HeldRole
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  readonly config: ConfigStore
  /** Creates an empty scheduler with the ledger of the last holder. */
  readonly createScheduler: (options: CellSchedulerOptions) => CellScheduler
  /** The VMs of the platform's list as last read. */
  readonly listVms: () => readonly Vm[]
  /** Whether an incarnation is this one or a peer with a live link. */
  readonly isLinked: (incarnation: string) => boolean
  readonly sendDesired: (incarnation: string, message: WorkerDesired) => void
  /** A commit found the role lost. */
  readonly onDeposed: () => void
}

/** A running term of the role. */
export interface SchedulerTask extends Disposable {
  recordObserved: (message: WorkerObserved, owner: string) => void
  /** Rows of jobs or cancellations changed. */
  recordJobsChanged: () => void
  /** The scheduler's memory, or `null` until all jobs are read. */
  readScheduler: () => CellScheduler | null
}

/** What tasks may use of a VM: its resources less the reserves of the services that run there. */
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
export function createSchedulerTask (options: SchedulerTaskOptions): SchedulerTask {
  const { clock, events } = options
  const disposables = createDisposableStore()
  const feed = createJobFeed(options.platform, events)
  const ledgerStore = createShareLedgerStore(options)
  let scheduler = options.createScheduler({})
  let ledgerRead = false
  const book = createWorkerBook({ ...options, cellEpoch: options.role.epoch, isHeld: (id) => gate.isHeld(id) })
  const gate = createGangGate({ readScheduler: () => scheduler, isConfirmed: book.isConfirmed })
  const endedAtMs = new Map<string, number>()
  const knownWorkers = new Set<string>()
  let disposed = false
  let loaded = false
  let jobsChanged = true
  let lastJobReadMs = -Infinity
  let appliedDocument: ConfigDocument | null = null
  let workersAppliedMs = -Infinity
  const committer = createStateCommitter({ ...options, isDisposed: () => disposed })

  const stopTerm = (): void => {
    disposed = true
    disposables.dispose()
  }

  const applyNews = (news: FeedNews): void => {
    const nowMs = clock.nowMs()
    for (const job of news.newJobs) {
      if (job.stateVersion > 0) committer.setVersion(job.id, job.stateVersion)
      scheduler.addJob(job.id, job.row, job.state, nowMs)
      // The last holder of the role may have died before it released the gang; a running member tells otherwise.
      if (job.row.spec.kind === 'gang') gate.addGang(job.id)
      if (job.cancelled) scheduler.cancelJob(job.id, nowMs)
      if (isEnded(job.state?.phase)) endedAtMs.set(job.id, nowMs)
    }
    for (const id of news.cancelledJobs) if (!endedAtMs.has(id)) scheduler.cancelJob(id, nowMs)
  }

  /** The ledger comes before any job: a scheduler takes it only when it is created. */
  const readLedger = async (): Promise<void> => {
    const ledger = await ledgerStore.readLedger()
    if (ledger.isErr()) return
    if (ledger.value !== undefined) scheduler = options.createScheduler({ ledger: ledger.value })
    ledgerRead = true
  }

  const readJobs = async (): Promise<void> => {
    if (!jobsChanged && clock.nowMs() - lastJobReadMs < JOB_POLL_MS) return
    jobsChanged = false
    lastJobReadMs = clock.nowMs()
    const news = await feed.readNews()
    if (news === null) return
    applyNews(news)
    loaded = true
  }

  const dropWorker = (worker: string, reason: string): void => {
    events.record(workerTasksLost, { worker, reason })
    scheduler.recordWorkerLost(worker, clock.nowMs())
    scheduler.removeWorker(worker)
    book.removeWorker(worker)
    knownWorkers.delete(worker)
  }

  const applyVm = (vm: Vm, document: ConfigDocument): void => {
    if (vm.state === 'gone') {
      if (knownWorkers.has(vm.id)) dropWorker(vm.id, 'its VM is gone')
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
      schedulable: vm.state === 'live' && !drained && book.isReachable(vm.id),
      draining: drained || vm.state === 'leaving'
    })
  }

  const applyWorkers = (document: ConfigDocument): void => {
    if (document !== appliedDocument) scheduler.setManifest(document.manifest)
    else if (clock.nowMs() - workersAppliedMs < WORKER_REVIEW_MS) return
    appliedDocument = document
    workersAppliedMs = clock.nowMs()
    for (const vm of options.listVms()) applyVm(vm, document)
  }

  const recordDecision = (decision: SchedulerDecision): void => {
    if (decision.kind === 'jobEnded') {
      events.record(jobEnded, { job: decision.job, team: decision.team, phase: decision.phase, reason: decision.reason })
      return
    }
    book.addDirty(decision.worker)
    if (decision.kind === 'stop') {
      events.record(taskStopping, { ...decision.id, team: decision.team, worker: decision.worker, checkpoint: decision.checkpoint, reason: decision.reason })
      return
    }
    if (scheduler.readJobRow(decision.id.job)?.spec.kind === 'gang') gate.addGang(decision.id.job)
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
    book.startCommit()
    const changes = collectChanges()
    return changes.length === 0 ? 'committed' : await committer.commitChanges(changes)
  }

  const runCycle = async (): Promise<void> => {
    if (!ledgerRead) await readLedger()
    if (ledgerRead) await readJobs()
    const document = options.config.readDocument()
    if (disposed || !loaded || document === null) return
    applyWorkers(document)
    const decisions = scheduler.decide(clock.nowMs(), clock.wallMs(), MAX_DECISIONS_PER_CYCLE)
    for (const decision of decisions) recordDecision(decision)
    const outcome = await commitDecisions()
    if (disposed) return
    if (outcome === 'deposed') {
      // What was decided is not in the table and must never be sent.
      stopTerm()
      options.onDeposed()
      return
    }
    book.sendDirty(scheduler)
    releaseGangs()
    ledgerStore.writeDue(scheduler.readShareLedger)
    if (decisions.length > 0) loop.wake()
  }

  /** The release needs no commit: the assignments are in the table already. */
  const releaseGangs = (): void => {
    const workers = gate.releaseReady()
    for (const worker of workers) book.addDirty(worker)
    if (workers.length > 0) loop.wake()
  }

  const recordObserved = (message: WorkerObserved, owner: string): void => {
    const { worker } = message
    const previousState = book.readRecord(worker)?.observed.state
    if (disposed || !book.recordObserved(message, owner)) return
    const nowMs = clock.nowMs()
    if (message.state === 'lost') {
      if (previousState !== 'lost') events.record(workerTasksLost, { worker, reason: 'its task lease has lapsed' })
      scheduler.recordWorkerLost(worker, nowMs)
    }
    for (const id of message.running) {
      gate.recordRunning(id)
      scheduler.recordStarted(id, worker, nowMs)
    }
    for (const usage of message.usage) scheduler.recordUsage(usage, worker, nowMs)
    for (const ended of message.ended) {
      if (ended.result !== 'refused') gate.recordRunning(ended.id)
      scheduler.recordEnded(ended, worker, nowMs)
      book.addEnded(worker, ended.id)
    }
    if (message.ended.length > 0) loop.wake()
    releaseGangs()
  }

  const loop = createSerialLoop({
    clock,
    readPauseMs: () => jobsChanged ? BUSY_CYCLE_MS : IDLE_CYCLE_MS,
    runStep: runCycle
  })
  disposables.add(loop)

  return {
    // Before all jobs are read an ended attempt could not be told from an unknown one.
    recordObserved: (message, owner) => { if (loaded) recordObserved(message, owner) },
    recordJobsChanged: () => {
      jobsChanged = true
      loop.wake()
    },
    readScheduler: () => loaded ? scheduler : null,
    dispose: stopTerm
  }
}

function isEnded (phase: string | undefined): boolean {
  return phase === 'completed' || phase === 'failed' || phase === 'cancelled'
}
