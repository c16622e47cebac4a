/** Planner of one cell: which task runs where, from jobs, workers, reports and advice. */
import { addResources, hasRoomFor, computeTotal, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import { HOLD_AFTER_MS, LASTING_HOLD_AFTER_MS, MAX_HELD_GANGS, PREEMPT_AFTER_MS } from './constants.js'
import { canEverRun, computeFree, isOpen, recordRefusalAt, type PartitionWorker } from './partitionWorker.js'
import { createJobBook } from './jobBook.js'
import { listTasks, type Task } from './jobState.js'
import type { PlannerDecisions, PartitionPlanner, StartOrder, TryAsk } from './plannerTypes.js'
import { chooseAdviceWorkers, listStartable, mayBeSuitable, recordAdvice, recordAdviceFailed, type ReadFree, type StepRun } from './stepRun.js'
import { chooseCeilingVictims, reserveRoom } from './roomReserve.js'
import { buildRunName, createRunAccounts } from './runAccounts.js'
import { computeCores, sortRuns, type RankedRun } from './runRanking.js'
import { placeTasks } from './stepPlacement.js'
import { createTeamUse } from './teamUse.js'

/** Creates a planner without jobs or workers. */
export function createPartitionPlanner (): PartitionPlanner {
  const teams = createTeamUse()
  const book = createJobBook()
  const accounts = createRunAccounts(book, teams)
  const { workers, findStep } = accounts

  const readCapacityCores = (): number => {
    let cores = 0
    for (const worker of workers.values()) if (worker.held) cores += computeCores(worker.facts.capacity)
    return cores
  }

  const startTask = (run: StepRun, task: Task, worker: PartitionWorker, number: number): StartOrder => {
    task.phase = 'placed'
    task.run = number
    task.worker = worker.facts.id
    task.confirmedAtMs = null
    accounts.takeRoom(task, worker)
    return {
      ...buildRunName(task),
      worker: worker.facts.id,
      payload: run.job.spec.payload,
      saved: task.saved,
      ticket: run.tickets.get(worker.facts.id)?.ticket ?? null,
      gang: run.step.gang
    }
  }

  const stopForOthers = (victims: readonly Task[]): void => {
    for (const victim of victims) {
      victim.preemptions++
      accounts.scheduleStop(victim, 'preempted')
    }
  }

  /** Tasks that wait for their team's ceiling alone: less urgent work of the team makes way for urgent tasks. */
  const waitForCeiling = (ranked: RankedRun, count: number, nowMs: number): void => {
    if (count === 0) return
    const { team } = ranked.run.job.spec
    const need = computeTotal(ranked.run.step.resources, count)
    teams.addBlocked(team, need)
    if (ranked.rank.priority > 0 || !teams.areLimitsSettled() || !mayPreempt(ranked, nowMs)) return
    const missing = subtractResources(need, teams.readFree(team))
    stopForOthers(chooseCeilingVictims({ priority: ranked.rank.priority, missing, tasks: listTasksOf(team), readFacts }))
  }

  function * listTasksOf (team: string): Generator<Task> {
    for (const worker of workers.values()) {
      for (const task of worker.tasks) if (book.findJob(task.job)?.spec.team === team) yield task
    }
  }

  /** Starts what has room and ceiling; returns the tasks that wait for room. */
  const startRun = (ranked: RankedRun, held: ReadonlyMap<string, Resources>, nowMs: number, starts: StartOrder[]): Task[] => {
    const { run } = ranked
    const startable = listStartable(run)
    const { team } = run.job.spec
    // A gang takes all of its room at once or none.
    const need = run.step.gang ? computeTotal(run.step.resources, run.tasks.length) : run.step.resources
    if (!teams.mayAdd(team, need)) {
      waitForCeiling(ranked, startable.length, nowMs)
      return []
    }
    const placements = placeTasks(run, startable, workers.values(), held, nowMs)
    const gangRun = run.step.gang ? Math.max(0, ...run.tasks.map((task) => task.run)) + 1 : 0
    const placed = new Set<Task>()
    for (const { task, worker } of placements) {
      if (!run.step.gang && !teams.mayAdd(team, need)) break
      starts.push(startTask(run, task, worker, run.step.gang ? gangRun : task.run + 1))
      placed.add(task)
    }
    if (placed.size > 0) book.noteStarted(run)
    if (placed.size === placements.length) return startable.filter((task) => !placed.has(task))
    waitForCeiling(ranked, startable.length - placed.size, nowMs)
    return []
  }

  /** A task that needs more than half of a worker finds room only where small tasks are kept away. */
  const isLarge = (run: StepRun): boolean => {
    const twice = computeTotal(run.room, 2)
    for (const worker of workers.values()) if (canEverRun(worker, run.step) && hasRoomFor(worker.facts.capacity, twice)) return false
    return true
  }

  const mayHold = (run: StepRun, nowMs: number): boolean => {
    if (run.waitingSinceMs === null) return false
    if (run.step.longRunning) return nowMs - run.waitingSinceMs > LASTING_HOLD_AFTER_MS
    return nowMs - run.waitingSinceMs > HOLD_AFTER_MS && (run.step.gang || isLarge(run))
  }

  const mayPreempt = ({ run, rank }: RankedRun, nowMs: number): boolean => {
    return rank.standing < 2 && run.waitingSinceMs !== null && nowMs - run.waitingSinceMs > PREEMPT_AFTER_MS
  }

  const readFacts = (task: Task) => ({ step: findStep(task), priority: book.findJob(task.job)?.spec.policy.priority ?? 0 })

  const keepRoom = (ranked: RankedRun, tasks: readonly Task[], held: Map<string, Resources>, nowMs: number): void => {
    const preempts = mayPreempt(ranked, nowMs)
    stopForOthers(reserveRoom({ run: ranked.run, tasks, workers: workers.values(), held, readFacts, mayPreempt: preempts, nowMs }))
  }

  /** Asks for advice if it can be used; tells whether a question is open. */
  const askAdvice = (run: StepRun, readFree: ReadFree, tryAsk: TryAsk, nowMs: number): boolean => {
    const { advice } = run.job.spec.policy
    if (advice === undefined || run.adviceAsked) return run.adviceAsked
    const named = chooseAdviceWorkers(run, workers.values(), readFree, nowMs)
    if (named.length === 0) return false
    run.adviceAsked = tryAsk({ step: run.key, workers: named, costMs: advice.decisionMs + advice.eachMs * named.length })
    return run.adviceAsked
  }

  /** Counts the room that a step will take once it is advised, so that steps of a lower rank don't ask for the same. */
  const reserveAdvisedRoom = (run: StepRun, tasks: readonly Task[], claimed: Map<string, Resources>, readFree: ReadFree, nowMs: number): void => {
    let left = tasks.length
    for (const worker of workers.values()) {
      if (!isOpen(worker, nowMs) || !mayBeSuitable(run, worker)) continue
      while (left > 0 && hasRoomFor(readFree(worker), run.room)) {
        claimed.set(worker.facts.id, addResources(claimed.get(worker.facts.id) ?? NO_RESOURCES, run.room))
        left--
      }
      if (left === 0) return
    }
  }

  const decide = (nowMs: number, wallMs: number, tryAsk: TryAsk): PlannerDecisions => {
    book.addDueOccurrences(wallMs, nowMs)
    const starts: StartOrder[] = []
    const held = new Map<string, Resources>()
    const claimed = new Map<string, Resources>()
    teams.startRound()
    const readFree: ReadFree = (worker) => {
      const taken = addResources(held.get(worker.facts.id) ?? NO_RESOURCES, claimed.get(worker.facts.id) ?? NO_RESOURCES)
      return subtractResources(computeFree(worker), taken)
    }
    let holding = 0
    const ranking = sortRuns({ runs: book.listWaitingRuns(), capacityCores: readCapacityCores(), nowMs, wallMs })
    for (const ranked of ranking) {
      const { run } = ranked
      const left = startRun(ranked, held, nowMs, starts)
      if (left.length === 0) continue
      // While a ticket is renewed the room that it is for is kept.
      if (askAdvice(run, readFree, tryAsk, nowMs)) reserveAdvisedRoom(run, left, run.tickets.size > 0 ? held : claimed, readFree, nowMs)
      const holds = mayHold(run, nowMs)
      if (holds && holding < MAX_HELD_GANGS) holding++
      else if (holds || ranked.rank.priority > 0 || !mayPreempt(ranked, nowMs)) continue
      keepRoom(ranked, left, held, nowMs)
    }
    return { starts, stops: accounts.takeStops() }
  }

  return {
    setWorker: (facts) => { accounts.resolveWorker(facts.id).facts = facts },
    setHeld: (id, held) => {
      const worker = workers.get(id)
      if (worker !== undefined) worker.held = held
    },
    setSuspect: (id, untilMs) => {
      const worker = workers.get(id)
      if (worker !== undefined) worker.suspectUntilMs = untilMs
    },
    recordWorkerLost: (id, nowMs, isUnsettled) => {
      const worker = workers.get(id)
      if (worker === undefined) return
      worker.held = false
      worker.strays = 0
      for (const task of [...worker.tasks]) {
        if (isUnsettled?.(buildRunName(task)) === true) continue
        accounts.releaseTask(task, nowMs)
      }
      for (const run of book.listRuns()) {
        run.tickets.delete(id)
        run.unsuitable.delete(id)
      }
    },
    removeWorker: accounts.removeWorker,
    listWorkers: () => [...workers.keys()],
    hasRuns: (id) => (workers.get(id)?.tasks.size ?? 0) > 0,
    setTeamLimits: (limits, areSettled = true) => teams.setLimits(limits, areSettled),
    listTeamDemand: teams.listDemand,
    addJob: (id, spec, record, nowMs) => {
      const job = book.addJob(id, spec, record, nowMs)
      for (const task of listTasks(job)) {
        if (task.worker === '') continue
        // Ordered in an earlier term: the worker's first list under this epoch tells what became of it.
        task.confirmedAtMs = -Infinity
        accounts.takeRoom(task, accounts.resolveWorker(task.worker))
      }
      if (job.phase === 'cancelled') accounts.stopJob(id, 'cancelled')
      if (job.phase === 'failed') accounts.stopJob(id, 'jobFailed')
    },
    addEndedJob: book.addEndedJob,
    cancelJob: (id, wallMs) => {
      const job = book.findJob(id)
      if (job === undefined || !book.endJob(job, 'cancelled', wallMs)) return
      accounts.stopJob(id, 'cancelled')
    },
    hasJob: book.hasJob,
    recordReport: accounts.recordReport,
    recordSettled: (name, worker, nowMs) => {
      const task = book.findTask(name)
      if (task === undefined || task.run !== name.run || task.worker !== worker) return
      task.confirmedAtMs ??= nowMs
    },
    isHeldAt: (name, worker) => {
      const task = book.findTask(name)
      return task !== undefined && task.run === name.run && task.worker === worker
    },
    recordStartRefused: (order, refusal, nowMs) => {
      const task = book.findTask(order)
      if (task === undefined || task.run !== order.run || task.worker !== order.worker) return
      const worker = workers.get(order.worker)
      if (worker !== undefined && (refusal === 'room' || refusal === 'unavailable')) recordRefusalAt(worker, nowMs)
      if (refusal === 'ticket') book.findRun(task)?.tickets.delete(order.worker)
      accounts.releaseTask(task, nowMs)
    },
    recordAdvice: (question, good, nowMs) => {
      const run = book.findRunByKey(question.step)
      const policy = run?.job.spec.policy.advice
      if (run !== undefined && policy !== undefined) recordAdvice(run, question.workers, good, policy, nowMs)
    },
    recordAdviceFailed: (question, nowMs) => {
      const run = book.findRunByKey(question.step)
      if (run !== undefined) recordAdviceFailed(run, nowMs)
    },
    decide,
    takeChangedJobs: book.takeChanged,
    isChanged: book.isChanged,
    addChangedJobs: (jobs) => { for (const job of jobs) book.markChanged(job) },
    readRecord: book.readRecord,
    readPhase: book.readPhase,
    countWaiting: book.countWaiting,
    forgetEnded: book.forgetEnded
  }
}
