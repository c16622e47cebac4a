/** Scheduler of one partition: places tasks on workers from jobs, worker reports and placement advice. */
import { hasRoomFor, computeTotal, subtractResources, type Resources } from '../schema/resources.js'
import { RESERVE_AFTER_MS, LONG_RUNNING_RESERVE_AFTER_MS, MAX_RESERVING_STEPS, MAX_TASKS_AHEAD, PREEMPT_AFTER_MS, TICKET_MARGIN_MS } from './constants.js'
import { startWorkerBackoff, type PartitionWorker } from './partitionWorker.js'
import { createCapacityIndex } from './capacityIndex.js'
import { createCrashEvidence, type CrashVerdict } from './crashEvidence.js'
import { createFailureHistory } from './failureHistory.js'
import { createIsolatedPlacement } from './isolatedPlacement.js'
import { createIsolation } from './isolation.js'
import { createJobRegistry } from './jobRegistry.js'
import { isSuspected, listTasks, type Task } from './jobState.js'
import type { PlannerDecisions, PartitionPlanner, RoundOptions, RunName, StartOrder, TrySendQuery } from './plannerTypes.js'
import { isAwaitingAdvice, reserveAdvisedCapacity, sendAdviceQuery } from './adviceRequests.js'
import { computeUnit, countStartable, isAdviceRequired, listStartable, recordAdvice, recordAdviceFailed, type StepInstance } from './stepInstance.js'
import { createCapacityReservations } from './capacityReservation.js'
import { createCeilingPreemptions, type CeilingPreemptions } from './ceilingPreemption.js'
import { buildRunName, createRunTracker } from './runTracker.js'
import { computeCores, sortInstances, type RankedInstance } from './instanceRanking.js'
import { placeTasks } from './stepPlacement.js'
import { listStartableByPlace } from './suspectWaits.js'
import { createPlanningRound, type PlanningRound } from './planningRound.js'
import { createRoundBudget } from './roundBudget.js'
import { createTeamUsage } from './teamUsage.js'

interface RoundParts {
  readonly round: PlanningRound
  readonly ceilings: CeilingPreemptions
  readonly trySend: TrySendQuery
  /** Starts with tickets that this round may still decide. */
  ticketedLeft: number
}

/** Creates a planner without jobs or workers. */
export function createPartitionPlanner (): PartitionPlanner {
  const teams = createTeamUsage()
  const registry = createJobRegistry()
  const tracker = createRunTracker(registry, teams)
  const { workers } = tracker
  const failures = createFailureHistory(workers)
  const evidence = createCrashEvidence(failures)
  const isolation = createIsolation(workers)
  const budget = createRoundBudget()
  /** Evaluations of the last round. */
  let evaluations = 0
  const capacityIndex = createCapacityIndex(workers, () => { evaluations++ })

  const readCapacityCores = (): number => {
    let cores = 0
    for (const worker of workers.values()) if (worker.synced) cores += computeCores(worker.info.capacity)
    return cores
  }

  const startTask = (instance: StepInstance, task: Task, worker: PartitionWorker, { number, nowMs }: { number: number, nowMs: number }): StartOrder => {
    task.phase = 'placed'
    task.run = number
    task.worker = worker.info.id
    task.confirmedAtMs = null
    task.hasStarted = false
    tracker.takeResources(task, worker)
    const ticket = instance.tickets.get(worker.info.id)
    return {
      ...buildRunName(task),
      worker: worker.info.id,
      payload: instance.job.spec.payload,
      saved: task.saved,
      ticket: ticket?.ticket ?? null,
      ticketUntilMs: ticket === undefined ? Infinity : ticket.validUntilMs + TICKET_MARGIN_MS,
      gang: instance.step.gang,
      decidedAtMs: nowMs
    }
  }

  const stopForPreemption = (tasks: readonly Task[]): void => {
    for (const task of tasks) {
      task.preemptions++
      tracker.scheduleStop(task, 'preempted')
    }
  }

  const placeIsolated = createIsolatedPlacement({ isolation, stopForPreemption })

  /** Adds to the team's demand what its limit blocks, but no work that the whole ceiling or no worker has room for: it would keep others from the ceiling. */
  const addBlocked = (instance: StepInstance, amount: Resources): void => {
    const { step, job: { spec: { team } } } = instance
    const unit = { resources: computeUnit(instance), waitingSinceMs: instance.waitingSinceMs ?? Infinity }
    if (teams.mayEverAdd(team, unit.resources) && capacityIndex.hasWorkerFor(step.resources, step.requiredLabel)) teams.addBlocked(team, amount, unit)
  }

  /** Handles tasks that only their team's limit blocks: for the most urgent priority, lower-priority tasks of the team are preempted. */
  const handleCeilingWait = (ranked: RankedInstance, count: number, { round, ceilings }: RoundParts): void => {
    if (count === 0) return
    const { instance, rank } = ranked
    const { team } = instance.job.spec
    const need = computeTotal(instance.step.resources, count)
    addBlocked(instance, need)
    if (rank.priority > 0 || !teams.areLimitsFinal() || !mayPreempt(ranked, round.nowMs) || !budget.mayReserve(instance)) return
    stopForPreemption(ceilings.choose(team, rank.priority, subtractResources(need, teams.readFree(team))))
  }

  const isAtCeiling = (instance: StepInstance): boolean => !teams.mayAdd(instance.job.spec.team, computeUnit(instance))

  /** Finds the task of a run that is allocated to a worker. */
  const findRun = (name: RunName, worker: string): Task | undefined => {
    const task = registry.findTask(name)
    return task !== undefined && task.run === name.run && task.worker === worker ? task : undefined
  }

  /** Whether the order of a further task would wait until its ticket expires. */
  const isOrderingBusy = (instance: StepInstance, { ticketedLeft }: RoundParts): boolean => isAdviceRequired(instance) && ticketedLeft <= 0

  /** Leaves a step out of this round; what its team's limit blocks still counts as the team's demand. */
  const handleDeferral = (instance: StepInstance): void => {
    if (isAtCeiling(instance)) addBlocked(instance, computeTotal(instance.step.resources, countStartable(instance)))
  }

  /** Starts the tasks of a step that fit the capacity and the team's limit; returns those that wait for capacity. */
  const startStep = (ranked: RankedInstance, parts: RoundParts, starts: StartOrder[]): readonly Task[] => {
    const { instance } = ranked
    const { round } = parts
    const startable = listStartable(instance)
    const { team } = instance.job.spec
    if (isAtCeiling(instance)) {
      handleCeilingWait(ranked, startable.length, parts)
      return []
    }
    const { gang } = instance.step
    const { apart, shared } = listStartableByPlace(instance, round.nowMs)
    // No worker is held for a gang that can't start yet.
    if (gang && apart.length > 0 && placeTasks(instance, shared, round).length < shared.length) return startable
    const isolated = placeIsolated(ranked, apart, round, parts.trySend)
    if (gang && isolated.length + shared.length < startable.length) return startable
    const others = placeTasks(instance, shared, round)
    if (gang && others.length < shared.length) return startable
    if (isolated.length === 0 && others.length === 0) return shared
    const gangRun = gang ? Math.max(0, ...instance.tasks.map((task) => task.run)) + 1 : 0
    const placed = new Set<Task>()
    const placements = [...isolated, ...others.map(({ task, worker }) => ({ task, worker: round.workers[worker]!, index: worker }))]
    for (const { task, worker, index } of placements) {
      if (!gang && isOrderingBusy(instance, parts)) break
      if (!gang && !teams.mayAdd(team, instance.step.resources)) break
      starts.push(startTask(instance, task, worker, { number: gang ? gangRun : task.run + 1, nowMs: round.nowMs }))
      if (index !== null) round.updateFree(index)
      placed.add(task)
      if (isAdviceRequired(instance)) parts.ticketedLeft--
    }
    if (placed.size > 0) registry.recordStarted(instance)
    if (!gang && placed.size < placements.length && isOrderingBusy(instance, parts)) return []
    if (placed.size === placements.length) return shared.filter((task) => !placed.has(task))
    handleCeilingWait(ranked, shared.length - placed.size, parts)
    return []
  }

  /** Tells whether a task needs more than half of the capacity of every suitable worker; without a reservation, small tasks would starve it. */
  const isLarge = ({ taskResources, step }: StepInstance): boolean => !capacityIndex.hasWorkerFor(computeTotal(taskResources, 2), step.requiredLabel)

  const mayReserve = (instance: StepInstance, nowMs: number): boolean => {
    if (instance.waitingSinceMs === null) return false
    if (instance.step.longRunning) return nowMs - instance.waitingSinceMs > LONG_RUNNING_RESERVE_AFTER_MS
    return nowMs - instance.waitingSinceMs > RESERVE_AFTER_MS && (instance.step.gang || isLarge(instance))
  }

  const mayPreempt = ({ instance, rank }: RankedInstance, nowMs: number): boolean => {
    return rank.deadlineClass < 2 && instance.waitingSinceMs !== null && nowMs - instance.waitingSinceMs > PREEMPT_AFTER_MS
  }

  /** Gives up the tasks that crash their workers beyond doubt; returns their last runs. */
  const applyVerdict = ({ counted, proven }: CrashVerdict, wallMs: number): RunName[] => {
    for (const task of counted) registry.recordChanged(task.job)
    const givenUp: RunName[] = []
    for (const task of proven) {
      if (task.phase === 'done' || task.phase === 'failed') continue
      givenUp.push(buildRunName(task))
      tracker.failTask(task, wallMs)
    }
    return givenUp
  }

  const decide = (nowMs: number, wallMs: number, trySend: TrySendQuery, { canSend = () => true, maxTicketedStarts = Infinity }: RoundOptions = {}): PlannerDecisions => {
    for (const task of evidence.recordUnseenProofs(nowMs)) registry.recordChanged(task.job)
    registry.addDueOccurrences(wallMs, nowMs)
    evaluations = 0
    const starts: StartOrder[] = []
    teams.startRound()
    isolation.startRound(nowMs)
    const round = createPlanningRound(workers.values(), nowMs)
    const reservations = createCapacityReservations(round)
    const parts = { round, ceilings: createCeilingPreemptions(workers.values(), round), trySend, ticketedLeft: maxTicketedStarts }
    const access = { trySend, canSend }
    let reservingCount = 0
    let tasksAhead = 0
    const ranking = sortInstances({ instances: registry.listWaitingInstances(), capacityCores: readCapacityCores(), nowMs, wallMs })
    budget.startRound(round, ranking.length)
    for (const ranked of ranking) {
      const { instance } = ranked
      if (isOrderingBusy(instance, parts)) {
        handleDeferral(instance)
        if (tasksAhead >= MAX_TASKS_AHEAD || isAtCeiling(instance)) continue
        const ahead = listStartable(instance)
        tasksAhead += ahead.length
        if (ahead.length > 0 && sendAdviceQuery(instance, round, access)) reserveAdvisedCapacity(instance, ahead, round)
        continue
      }
      if (!budget.mayPlace(instance)) {
        handleDeferral(instance)
        continue
      }
      const left = startStep(ranked, parts, starts)
      if (left.length === 0) continue
      if (sendAdviceQuery(instance, round, access)) reserveAdvisedCapacity(instance, left, round)
      const reserves = mayReserve(instance, nowMs)
      if (reserves && reservingCount < MAX_RESERVING_STEPS) reservingCount++
      else if (reserves || ranked.rank.priority > 0 || !mayPreempt(ranked, nowMs)) continue
      if (!budget.mayReserve(instance) || (!reserves && isAwaitingAdvice(instance, round))) continue
      stopForPreemption(reservations.reserve({ instance, tasks: left, mayPreempt: mayPreempt(ranked, nowMs) }))
    }
    evaluations += round.countEvaluations()
    return { starts, stops: tracker.takeStops(), isolation: isolation.takeChanges() }
  }

  return {
    setWorker: (info) => {
      capacityIndex.recordChange(workers.get(info.id)?.info, info)
      tracker.resolveWorker(info.id).info = info
    },
    setSynced: (id, synced) => {
      const worker = workers.get(id)
      if (worker !== undefined) worker.synced = synced
    },
    setSuspect: (id, untilMs) => {
      const worker = workers.get(id)
      if (worker !== undefined) worker.suspectUntilMs = untilMs
    },
    recordWorkerFailing: (id, nowMs, isAbrupt) => {
      const worker = workers.get(id)
      if (worker !== undefined) failures.recordFailure(worker, nowMs, isAbrupt)
    },
    recordWorkerLost: (id, loss, classifyRun = () => 'lost') => {
      const worker = workers.get(id)
      if (worker === undefined) return { released: [], suspected: [], givenUp: [] }
      const states = new Map([...worker.tasks].map((task) => [task, classifyRun(buildRunName(task), task.confirmedAtMs)]))
      const mayHaveRun = [...worker.tasks].filter((task) => states.get(task) === 'lost' || states.get(task) === 'inDoubt')
      const verdict = evidence.recordLoss(worker, mayHaveRun, loss)
      worker.synced = false
      worker.strayRuns = 0
      const released: RunName[] = []
      const suspected: RunName[] = []
      for (const [task, state] of states) {
        if (state === 'alive' || state === 'inDoubt') continue
        const run = buildRunName(task)
        released.push(run)
        if (isSuspected(task)) suspected.push(run)
        tracker.releaseTask(task, loss.nowMs)
      }
      for (const instance of registry.listStepInstances()) {
        instance.tickets.delete(id)
        instance.unsuitable.delete(id)
      }
      return { released, suspected, givenUp: applyVerdict(verdict, loss.wallMs) }
    },
    recordWorkerReplaced: (id, nowMs, wallMs) => applyVerdict(evidence.recordReplaced(id, nowMs), wallMs),
    recordWorkerBorn: (id, bornAtMs, isReported, nowMs, wallMs) => {
      const worker = workers.get(id)
      if (worker === undefined) return []
      const missing = [...worker.tasks].filter((task) => task.confirmedAtMs === -Infinity && !isReported(buildRunName(task)) &&
        (registry.findJob(task.job)?.spec.acceptedAtMs ?? Infinity) < bornAtMs)
      // Workers that failed with their rack or failure domain start again at about the same time.
      const failedAtMs = nowMs - (wallMs - bornAtMs)
      failures.recordUnseenFailure(worker, failedAtMs)
      return applyVerdict(evidence.recordLoss(worker, missing, { kind: 'unseen', failedAtMs, nowMs, wallMs }), wallMs)
    },
    recordWorkerSurvived: (id) => { for (const task of evidence.recordSurvived(id)) registry.recordChanged(task.job) },
    removeWorker: (id) => {
      capacityIndex.recordChange(workers.get(id)?.info, undefined)
      tracker.removeWorker(id)
    },
    listWorkers: () => [...workers.keys()],
    isIsolated: (id) => workers.get(id)?.isolated ?? false,
    hasRuns: (id) => (workers.get(id)?.tasks.size ?? 0) > 0,
    setTeamLimits: (limits, areFinal = true, ceilings = new Map()) => teams.setLimits(limits, areFinal, ceilings),
    listTeamDemand: teams.listDemand,
    addJob: (id, spec, record, nowMs, crashes) => {
      const job = registry.addJob(id, spec, record, nowMs, crashes)
      for (const task of listTasks(job)) {
        if (task.worker === '') continue
        // Started in an earlier term: the worker's first report under this epoch shows its outcome.
        task.confirmedAtMs = -Infinity
        task.hasStarted = true
        tracker.takeResources(task, tracker.resolveWorker(task.worker))
      }
      if (job.phase === 'cancelled') tracker.stopJob(id, 'cancelled')
      if (job.phase === 'failed') tracker.stopJob(id, 'jobFailed')
    },
    addEndedJob: registry.addEndedJob,
    cancelJob: (id, wallMs) => {
      const job = registry.findJob(id)
      if (job === undefined || !registry.endJob(job, 'cancelled', wallMs)) return
      tracker.stopJob(id, 'cancelled')
    },
    hasJob: registry.hasJob,
    recordReport: tracker.recordReport,
    recordStartConfirmed: (name, worker, nowMs) => {
      const task = findRun(name, worker)
      if (task === undefined) return
      task.confirmedAtMs ??= nowMs
      task.hasStarted = true
      registry.recordBegun(task.job)
    },
    recordOrderSettled: (name, worker, nowMs) => {
      const task = findRun(name, worker)
      if (task !== undefined) task.confirmedAtMs ??= nowMs
    },
    isOvercommitted: (id) => {
      const worker = workers.get(id)
      return worker !== undefined && !hasRoomFor(worker.info.capacity, worker.used)
    },
    isAllocatedAt: (name, worker) => findRun(name, worker) !== undefined,
    recordStartRefused: (order, refusal, nowMs) => {
      const task = findRun(order, order.worker)
      if (task === undefined) return
      const worker = workers.get(order.worker)
      if (worker !== undefined && (refusal === 'room' || refusal === 'unavailable')) startWorkerBackoff(worker, nowMs)
      if (refusal === 'ticket') registry.findStepInstance(task)?.tickets.delete(order.worker)
      tracker.releaseTask(task, nowMs)
    },
    recordAdvice: (query, tickets, nowMs) => {
      const instance = registry.findStepInstanceByKey(query.step)
      const policy = instance?.job.spec.policy.advice
      if (instance !== undefined && policy !== undefined) recordAdvice(instance, query.workers, tickets, policy, nowMs)
    },
    recordAdviceFailed: (query, nowMs) => {
      const instance = registry.findStepInstanceByKey(query.step)
      if (instance !== undefined) recordAdviceFailed(instance, nowMs)
    },
    decide,
    countEvaluations: () => evaluations,
    listOrderedStops: tracker.listOrderedStops,
    takeChangedJobs: registry.takeChanged,
    isChanged: registry.isChanged,
    addChangedJobs: (jobs) => { for (const job of jobs) registry.recordChanged(job) },
    readRecord: registry.readRecord,
    readCrashRecord: registry.readCrashRecord,
    readPhase: registry.readPhase,
    countWaiting: registry.countWaiting,
    countBacklog: () => {
      const waiting = registry.listWaitingInstances()
      return { steps: waiting.length, tasks: waiting.reduce((sum, instance) => sum + countStartable(instance), 0) }
    },
    removeEnded: registry.removeEnded
  }
}
