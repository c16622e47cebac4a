/** Planner of one cell: which task runs where, from jobs, workers, reports and advice. */
import { addResources, hasRoomFor, multiplyResources, NO_RESOURCES, subtractResources, type Resources } from '../schema/resources.js'
import { HOLD_AFTER_MS, LASTING_HOLD_AFTER_MS, MAX_HELD_GANGS, PREEMPT_AFTER_MS } from './constants.js'
import { addTaskTo, computeFree, createCellWorker, isOpen, recordEndAt, recordRefusalAt, removeTaskFrom, type CellWorker } from './cellWorker.js'
import { createJobBook } from './jobBook.js'
import { listTasks, type CellTask } from './jobState.js'
import type {
  CellDecisions, CellPlanner, ListedEnd, PlannedRun, RunName, StartOrder, StopOrder, TryAsk, WorkerReport
} from './plannerTypes.js'
import { chooseAdviceWorkers, estimateRemainingMs, listStartable, mayBeSuitable, recordAdvice, recordAdviceFailed, type ReadFree, type StepRun } from './stepRun.js'
import { makeRoom } from './roomMaking.js'
import { placeTasks } from './stepPlacement.js'
import { createTeamUse } from './teamUse.js'
import { compareUrgency, computeUrgency, type Urgency } from './urgency.js'

interface RankedRun {
  readonly run: StepRun
  readonly rank: Urgency
}

/** Creates a planner without jobs or workers. */
export function createCellPlanner (): CellPlanner {
  const workers = new Map<string, CellWorker>()
  const teams = createTeamUse()
  const book = createJobBook({
    onTaskReleased: (task) => releaseRoom(task)
  })
  const toStop = new Map<CellTask, StopOrder['reason']>()

  const findStep = (task: CellTask) => {
    const step = book.findJob(task.job)?.spec.steps[task.step]
    if (step === undefined) throw new Error(`task of unknown step ${task.job}.${task.step}`)
    return step
  }

  const findTeam = (task: CellTask): string => book.findJob(task.job)?.spec.team ?? ''

  const takeRoom = (task: CellTask, worker: CellWorker): void => {
    const step = findStep(task)
    addTaskTo(worker, task, step)
    teams.add(findTeam(task), step.resources)
  }

  const releaseRoom = (task: CellTask): void => {
    toStop.delete(task)
    const worker = workers.get(task.worker)
    if (worker !== undefined && worker.tasks.has(task)) {
      const step = findStep(task)
      removeTaskFrom(worker, task, step)
      teams.subtract(findTeam(task), step.resources)
    }
    task.worker = ''
    task.stopping = false
    task.confirmedAtMs = null
    task.percent = 0
    task.pacePercent = 100
  }

  const resolveWorker = (id: string): CellWorker => {
    const known = workers.get(id)
    if (known !== undefined) return known
    // A run of the table names a worker that no list shows: it holds room until the worker is lost for certain.
    const ghost = createCellWorker({ id, failureDomain: '', labels: [], capacity: { processors: 0, memoryMb: 0, accelerators: 0 }, draining: true })
    workers.set(id, ghost)
    return ghost
  }

  const requestStop = (task: CellTask, reason: StopOrder['reason']): void => {
    if (task.worker !== '' && !task.stopping) toStop.set(task, reason)
  }

  const stopJob = (id: string, reason: StopOrder['reason']): void => {
    const job = book.findJob(id)
    if (job === undefined) return
    for (const task of listTasks(job)) requestStop(task, reason)
  }

  /** The run is over without a result: the task waits again. */
  const returnTask = (task: CellTask, nowMs: number): void => {
    releaseRoom(task)
    if (task.phase === 'placed') task.phase = 'waiting'
    book.markChanged(task.job)
    book.noteWaiting(task, nowMs)
  }

  const endGangMembers = (task: CellTask, nowMs: number): void => {
    for (const member of book.listGang(task)) {
      if (member === task || member.run !== task.run || member.phase !== 'placed') continue
      // All members end together; room elsewhere is free when that worker lists its end.
      member.phase = 'done'
      book.noteDone(member, nowMs)
    }
  }

  const breakGang = (task: CellTask): void => {
    for (const member of book.listGang(task)) {
      if (member !== task && member.run === task.run && member.phase === 'placed') requestStop(member, 'gangBroken')
    }
  }

  const recordFailure = (task: CellTask, end: ListedEnd, nowMs: number, wallMs: number): void => {
    const gang = book.listGang(task)
    for (const member of gang) if (member.run === end.run) member.failures++
    const job = book.findJob(task.job)
    if (job === undefined || findStep(task).longRunning || task.failures < job.spec.policy.maxAttempts) return
    task.phase = 'failed'
    book.endJob(job, 'failed', wallMs)
    stopJob(job.id, 'jobFailed')
  }

  const keepSaved = (task: CellTask, saved: string): void => {
    if (saved === '') return
    for (const member of book.listGang(task)) member.saved = saved
  }

  const recordEnd = (workerId: string, end: ListedEnd, nowMs: number, wallMs: number): void => {
    const task = book.findTask(end)
    if (task === undefined) return
    const isCurrent = task.run === end.run && task.worker === workerId
    const worker = workers.get(workerId)
    if (worker !== undefined && isCurrent) recordEndAt(worker, end.how === 'failed', nowMs)
    if (!isCurrent) {
      // A worker that was given up for lost tells of a result after all: the task need not run again.
      if (end.how !== 'done' || task.phase === 'done' || task.phase === 'failed') return
      if (task.phase === 'placed') requestStop(task, 'superseded')
      task.phase = 'done'
      endGangMembers(task, nowMs)
      book.noteDone(task, nowMs)
      book.endIfComplete(task, wallMs)
      return
    }
    keepSaved(task, end.saved)
    const wasPlaced = task.phase === 'placed'
    releaseRoom(task)
    book.markChanged(task.job)
    if (!wasPlaced) return
    if (end.how === 'done' && !findStep(task).longRunning) {
      task.phase = 'done'
      endGangMembers(task, nowMs)
      book.noteDone(task, nowMs)
      book.endIfComplete(task, wallMs)
      return
    }
    task.phase = 'waiting'
    if (end.how === 'failed') recordFailure(task, end, nowMs, wallMs)
    // The workers end the other members of a gang by themselves when one fails.
    if (findStep(task).gang && (end.how === 'stopped' || end.how === 'lapsed' || end.how === 'alone')) breakGang(task)
    book.noteWaiting(task, nowMs)
  }

  const recordReport = (workerId: string, report: WorkerReport, nowMs: number, wallMs: number): StopOrder[] => {
    const worker = resolveWorker(workerId)
    for (const end of report.ended) recordEnd(workerId, end, nowMs, wallMs)
    const listed = new Set<CellTask>()
    const strays: StopOrder[] = []
    for (const entry of report.running) {
      const task = book.findTask(entry)
      if (task === undefined || task.run !== entry.run || task.worker !== workerId) {
        strays.push({ ...entry, worker: workerId, reason: 'stray' })
        continue
      }
      listed.add(task)
      task.confirmedAtMs ??= report.askedAtMs
      task.percent = entry.percent
      if (entry.saved !== '' && entry.saved !== task.saved) keepSaved(task, entry.saved)
    }
    worker.strays = strays.length
    for (const task of [...worker.tasks]) {
      if (listed.has(task) || task.confirmedAtMs === null || task.confirmedAtMs >= report.askedAtMs) continue
      returnTask(task, nowMs)
      if (findStep(task).gang) breakGang(task)
    }
    return strays
  }

  const rankRuns = (nowMs: number, wallMs: number): RankedRun[] => {
    const ranked: RankedRun[] = []
    for (const run of book.listWaitingRuns()) {
      const rank = computeUrgency(run.job.spec, run.occurrence.index, estimateRemainingMs(run), wallMs)
      const isOverdue = run.step.longRunning && run.waitingSinceMs !== null && nowMs - run.waitingSinceMs > LASTING_HOLD_AFTER_MS
      ranked.push({ run, rank: run.step.longRunning ? { ...rank, standing: 0, priority: isOverdue ? -1 : rank.priority } : rank })
    }
    return ranked.sort((a, b) => compareUrgency(a.rank, b.rank))
  }

  const startTask = (run: StepRun, task: CellTask, worker: CellWorker, number: number): StartOrder => {
    task.phase = 'placed'
    task.run = number
    task.worker = worker.facts.id
    task.confirmedAtMs = null
    takeRoom(task, worker)
    return {
      ...buildRunName(task),
      worker: worker.facts.id,
      payload: run.job.spec.payload,
      saved: task.saved,
      ticket: run.tickets.get(worker.facts.id)?.ticket ?? null,
      gang: run.step.gang
    }
  }

  /** Starts what has room and ceiling; returns the tasks that wait for room. */
  const startRun = (run: StepRun, held: ReadonlyMap<string, Resources>, nowMs: number, starts: StartOrder[]): CellTask[] => {
    const startable = listStartable(run)
    const { team } = run.job.spec
    // A gang takes all of its room at once or none.
    const need = run.step.gang ? multiplyResources(run.step.resources, run.tasks.length) : run.step.resources
    if (!teams.mayAdd(team, need)) {
      if (startable.length > 0) teams.addBlocked(team, multiplyResources(run.step.resources, startable.length))
      return []
    }
    const placements = placeTasks(run, startable, [...workers.values()], held, nowMs)
    const gangRun = run.step.gang ? Math.max(0, ...run.tasks.map((task) => task.run)) + 1 : 0
    const placed = new Set<CellTask>()
    for (const { task, worker } of placements) {
      if (!run.step.gang && !teams.mayAdd(team, need)) break
      starts.push(startTask(run, task, worker, run.step.gang ? gangRun : task.run + 1))
      placed.add(task)
    }
    if (placed.size > 0) book.noteStarted(run)
    if (placed.size === placements.length) return startable.filter((task) => !placed.has(task))
    teams.addBlocked(team, multiplyResources(run.step.resources, startable.length - placed.size))
    return []
  }

  const mayHold = (run: StepRun, nowMs: number): boolean => {
    if (run.waitingSinceMs === null || !(run.step.gang || run.step.longRunning)) return false
    return nowMs - run.waitingSinceMs > (run.step.longRunning ? LASTING_HOLD_AFTER_MS : HOLD_AFTER_MS)
  }

  const mayPreempt = ({ run, rank }: RankedRun, nowMs: number): boolean => {
    return rank.standing < 2 && run.waitingSinceMs !== null && nowMs - run.waitingSinceMs > PREEMPT_AFTER_MS
  }

  const readFacts = (task: CellTask) => ({ step: findStep(task), priority: book.findJob(task.job)?.spec.policy.priority ?? 0 })

  const holdRoom = (ranked: RankedRun, tasks: readonly CellTask[], held: Map<string, Resources>, nowMs: number): void => {
    const preempts = mayPreempt(ranked, nowMs)
    const victims = makeRoom({ run: ranked.run, tasks, workers: [...workers.values()], held, readFacts, mayPreempt: preempts, nowMs })
    for (const victim of victims) {
      victim.preemptions++
      requestStop(victim, 'preempted')
    }
  }

  /** Asks for advice if it can be used; tells whether a question is open. */
  const askAdvice = (run: StepRun, readFree: ReadFree, tryAsk: TryAsk, nowMs: number): boolean => {
    const { advice } = run.job.spec.policy
    if (advice === undefined || run.adviceAsked) return run.adviceAsked
    const named = chooseAdviceWorkers(run, [...workers.values()], readFree, nowMs)
    if (named.length === 0) return false
    run.adviceAsked = tryAsk({ step: run.key, workers: named, costMs: advice.decisionMs + advice.eachMs * named.length })
    return run.adviceAsked
  }

  /** Counts the room that a step will take once it is advised, so that steps of a lower rank don't ask for the same. */
  const claimRoom = (run: StepRun, tasks: readonly CellTask[], claimed: Map<string, Resources>, readFree: ReadFree, nowMs: number): void => {
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

  const collectStops = (): StopOrder[] => {
    const stops: StopOrder[] = []
    for (const [task, reason] of toStop) {
      task.stopping = true
      stops.push({ ...buildRunName(task), worker: task.worker, reason })
    }
    toStop.clear()
    return stops
  }

  const decide = (nowMs: number, wallMs: number, tryAsk: TryAsk): CellDecisions => {
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
    for (const ranked of rankRuns(nowMs, wallMs)) {
      const { run } = ranked
      const left = startRun(run, held, nowMs, starts)
      if (left.length === 0) continue
      if (askAdvice(run, readFree, tryAsk, nowMs)) claimRoom(run, left, claimed, readFree, nowMs)
      const holds = mayHold(run, nowMs)
      if (holds && holding < MAX_HELD_GANGS) holding++
      else if (holds || ranked.rank.priority > 0 || !mayPreempt(ranked, nowMs)) continue
      holdRoom(ranked, left, held, nowMs)
    }
    return { starts, stops: collectStops() }
  }

  return {
    setWorker: (facts) => {
      const known = workers.get(facts.id)
      if (known === undefined) workers.set(facts.id, createCellWorker(facts))
      else known.facts = facts
    },
    setHeld: (id, held) => {
      const worker = workers.get(id)
      if (worker !== undefined) worker.held = held
    },
    recordWorkerLost: (id, nowMs, isUnsettled) => {
      const worker = workers.get(id)
      if (worker === undefined) return
      worker.held = false
      worker.strays = 0
      for (const task of [...worker.tasks]) {
        if (isUnsettled?.(buildRunName(task)) === true) continue
        returnTask(task, nowMs)
        if (findStep(task).gang) breakGang(task)
      }
      for (const run of book.listRuns()) {
        run.tickets.delete(id)
        run.unsuitable.delete(id)
      }
    },
    removeWorker: (id) => { workers.delete(id) },
    listWorkers: () => [...workers.keys()],
    hasRuns: (id) => (workers.get(id)?.tasks.size ?? 0) > 0,
    setTeamLimits: teams.setLimits,
    listTeamDemand: teams.listDemand,
    addJob: (id, spec, record, nowMs) => {
      const job = book.addJob(id, spec, record, nowMs)
      for (const task of listTasks(job)) {
        if (task.worker === '') continue
        // Ordered in an earlier term: the worker's first list under this epoch tells what became of it.
        task.confirmedAtMs = -Infinity
        takeRoom(task, resolveWorker(task.worker))
      }
      if (job.phase === 'cancelled') stopJob(id, 'cancelled')
      if (job.phase === 'failed') stopJob(id, 'jobFailed')
    },
    cancelJob: (id, wallMs) => {
      const job = book.findJob(id)
      if (job === undefined || !book.endJob(job, 'cancelled', wallMs)) return
      stopJob(id, 'cancelled')
    },
    hasJob: (id) => book.findJob(id) !== undefined,
    recordReport,
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
      returnTask(task, nowMs)
      if (findStep(task).gang) breakGang(task)
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
    readPhase: (id) => book.findJob(id)?.phase ?? null,
    countWaiting: book.countWaiting,
    findNextDueMs: book.findNextDueMs,
    forgetEnded: book.forgetEnded,
    listRunsAt: (id) => [...workers.get(id)?.tasks ?? []].map((task): PlannedRun => {
      const step = findStep(task)
      return { ...buildRunName(task), fills: step.fills, targetMs: step.targetMs }
    })
  }
}

function buildRunName (task: CellTask): RunName {
  return { job: task.job, occurrence: task.occurrence, step: task.step, index: task.index, run: task.run }
}
