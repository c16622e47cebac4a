/** The owner's side of requests: queue, endpoint choice and exchanges with endpoints. */
import {
  createDisposableStore, createEndpointBook, createRequestQueue, createRetryBudget, startInterval,
  type Clock, type Disposable, type EndpointBook, type EndpointChoice, type EventLog, type FreeSlots, type Random,
  type RequestOutcome, type RequestQueue, type ServiceRequest, type QueueCapacity
} from '@fuchsiatally/core'
import type { ConfigStore, EndpointClient, ExchangeResult, OwnedWorkers } from '../ports.js'
import {
  NO_ENDPOINT_RETRY_MS, SWEEP_INTERVAL_MS
} from './constants.js'
import { createEndpointExchanges, type Held } from './endpointExchanges.js'
import { requestPlaced, requestRetried } from './events.js'
import { createNotRun, createUnknown } from './outcome.js'
import { createPassedOnCounter } from './passedOnCounter.js'

const NO_ENDPOINT = 'no endpoint of the service is in reach'
const NO_ALLOTMENT = 'the team\'s part of its ceiling is used up at the owner'
const HOPELESS = 'cannot be answered by its deadline'

/** The owner's view of its parts of the ceilings. */
export interface AllotmentCharges {
  readonly charge: (team: string) => boolean
  readonly release: (team: string) => void
  readonly countFree: (team: string) => number
  readonly countPart: (team: string) => number
}

/** What the owner needs. */
export interface OwnerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly workers: OwnedWorkers
  readonly endpoints: EndpointClient
  readonly config: ConfigStore
  readonly allotments: AllotmentCharges
  readonly log: EventLog
}

/** One request in the owner's hands. */
export interface OwnerRun {
  /** Takes it out of the queue as `notRun`; without effect once an exchange has begun. */
  cancel: () => void
}

/** Runs requests on the endpoints of this entry's workers. */
export interface Owner extends Disposable {
  /**
   * Calls `onOutcome` exactly once, possibly before it returns.
   *
   * @param mayWait whether to queue the request while only allotment is lacking
   */
  runRequest: (
    request: ServiceRequest, mayWait: boolean, onOutcome: (outcome: RequestOutcome) => void
  ) => OwnerRun
  listFreeSlots: () => FreeSlots[]
  /** Requests of the team that have a slot but no allotment. */
  countStarved: (team: string) => number
  hasEndpoints: () => boolean
  estimateExchangeMs: (service: string) => number
  /** Starts what can start; to be called when allotments grew. */
  startWaiting: () => void
  /** Requests queued or in an exchange. */
  countOpen: () => number
}

interface Refusal {
  readonly reason: string
  readonly retryAfterMs: number
}

/** Starts the owner's side. */
export function createOwner (options: OwnerOptions): Owner {
  const { clock, allotments, log } = options
  const store = createDisposableStore()
  const book: EndpointBook = createEndpointBook(options.random)
  const budget = createRetryBudget()
  const exchanges = createEndpointExchanges({ clock, endpoints: options.endpoints, book, budget, log })
  const queues = new Map<string, RequestQueue<Held>>()
  const passedOn = createPassedOnCounter()
  let open = 0
  let sequence = 0

  const getQueue = (service: string): RequestQueue<Held> => {
    let queue = queues.get(service)
    if (queue === undefined) {
      queue = createRequestQueue<Held>()
      queues.set(service, queue)
    }
    return queue
  }

  const updateEndpoints = (): void => {
    const slots = new Map(options.config.readDocument()?.manifest.services.map((service) => [service.name, service]))
    const views = []
    for (const worker of options.workers.listOwnedWorkers()) {
      if (!worker.hasContact || worker.leaving) continue
      for (const runner of worker.runners) {
        const service = slots.get(runner.service)
        if (service === undefined) continue
        views.push({
          address: runner.address,
          worker: worker.id,
          rack: worker.rack,
          service: runner.service,
          slots: Math.min(service.slotsPerRunner, service.connectionsPerRunner),
          reportedBusy: runner.busy
        })
      }
    }
    book.updateEndpoints(views)
  }

  const getCapacity = (service: string): QueueCapacity => {
    const count = book.countSlots(service, clock.nowMs())
    return { slots: count.total, freeSlots: count.free, countAllotted: allotments.countPart }
  }

  const resolveHeld = (held: Held, outcome: RequestOutcome): void => {
    if (held.ended) throw new Error('a request ended twice')
    held.ended = true
    held.timer?.dispose()
    open -= 1
    held.onOutcome(outcome)
  }

  const resolveUnsent = (held: Held, reason: string, retryAfterMs: number): void => {
    resolveHeld(held, held.mayHaveRun
      ? createUnknown(`an earlier exchange broke; then: ${reason}`)
      : createNotRun(reason, retryAfterMs))
  }

  const resolveHopeless = (service: string): void => {
    const capacity = getCapacity(service)
    for (const { value } of getQueue(service).takeHopeless(clock.nowMs(), capacity)) {
      if (capacity.slots === 0) resolveUnsent(value, NO_ENDPOINT, NO_ENDPOINT_RETRY_MS)
      else resolveUnsent(value, HOPELESS, estimateWaitMs(value, capacity))
    }
  }

  const estimateWaitMs = (held: Held, capacity: QueueCapacity): number =>
    getQueue(held.service.name).estimateWaitMs(
      held.request.team, held.weight, book.estimateExchangeMs(held.service.name), capacity)

  const resolveExchange = (
    held: Held, result: ExchangeResult, choice: EndpointChoice, retryTaken: boolean
  ): void => {
    if (result.kind === 'answered') {
      if (retryTaken) budget.addRetry()
      return resolveHeld(held, { ...result.outcome, worker: choice.endpoint.worker })
    }
    if (result.kind === 'broken') held.mayHaveRun = true
    if (exchanges.canRetry(held, result, retryTaken)) {
      log.record(requestRetried, { request: held.request.id, worker: choice.endpoint.worker, reason: result.reason })
      addToQueue(held)
      return
    }
    if (result.kind === 'broken') return resolveHeld(held, createUnknown(result.reason))
    resolveUnsent(held, result.reason, estimateWaitMs(held, getCapacity(held.service.name)))
  }

  const runExchange = async (held: Held, choice: EndpointChoice): Promise<void> => {
    const { result, retryTaken } = await exchanges.runExchange(held, choice)
    allotments.release(held.request.team)
    resolveExchange(held, result, choice, retryTaken)
    startService(held.service.name)
  }

  /** Takes slot and charge for a request that has its turn; `false` if no endpoint can take it. */
  const startExchange = (held: Held): boolean => {
    const nowMs = clock.nowMs()
    const name = held.service.name
    const { idempotent } = held.request
    const choice = book.chooseEndpoint(name, nowMs, held.triedAddresses, idempotent) ??
      book.chooseEndpoint(name, nowMs, new Set(), idempotent)
    if (choice === undefined) return false
    if (!allotments.charge(held.request.team)) throw new Error('a request had its turn without allotment')
    held.tries += 1
    held.triedAddresses.add(choice.endpoint.address)
    log.record(requestPlaced, {
      request: held.request.id,
      team: held.request.team,
      service: name,
      worker: choice.endpoint.worker,
      address: choice.endpoint.address,
      reason: 'least loaded',
      losers: choice.losers
    })
    runExchange(held, choice)
    return true
  }

  const startService = (service: string): void => {
    const queue = getQueue(service)
    if (queue.countQueued() === 0) return
    updateEndpoints()
    while (book.countSlots(service, clock.nowMs()).free > 0) {
      const next = queue.takeNext((team) => allotments.countFree(team) > 0)
      if (next === undefined) break
      if (clock.nowMs() >= next.deadlineMs) resolveUnsent(next.value, 'deadline passed in the queue', 0)
      else if (!startExchange(next.value)) throw new Error('a free slot was counted but not found')
    }
  }

  const addToQueue = (held: Held): void => {
    const service = held.service.name
    getQueue(service).addRequest({
      id: held.id,
      team: held.request.team,
      weight: held.weight,
      deadlineMs: held.deadlineMs,
      costMs: book.estimateExchangeMs(service),
      value: held
    })
  }

  const countQueuedOfTeam = (team: string): number => {
    let count = 0
    for (const queue of queues.values()) count += queue.countOfTeam(team)
    return count
  }

  const startAll = (): void => {
    for (const service of queues.keys()) startService(service)
  }

  const startAndSweep = (): void => {
    updateEndpoints()
    startAll()
    for (const service of queues.keys()) resolveHopeless(service)
  }

  /** Whether the team's next request has a slot but no allotment. */
  const isStarved = (team: string, capacity: QueueCapacity): boolean =>
    capacity.freeSlots > 0 && allotments.countFree(team) <= countQueuedOfTeam(team)

  /** Why a request must not even be queued; `undefined` if it may. */
  const explainRefusal = (held: Held, mayWait: boolean, queuedLimit: number): Refusal | undefined => {
    const capacity = getCapacity(held.service.name)
    if (capacity.slots === 0) return { reason: NO_ENDPOINT, retryAfterMs: NO_ENDPOINT_RETRY_MS }
    const waitMs = estimateWaitMs(held, capacity)
    if (!mayWait && isStarved(held.request.team, capacity)) {
      passedOn.addRequest(held.request.team, clock.nowMs())
      return { reason: NO_ALLOTMENT, retryAfterMs: waitMs }
    }
    const neededMs = waitMs === 0 ? 0 : waitMs + book.estimateExchangeMs(held.service.name)
    if (clock.nowMs() + neededMs >= held.deadlineMs) return { reason: HOPELESS, retryAfterMs: waitMs }
    if (waitMs === 0 || countQueuedOfTeam(held.request.team) < queuedLimit) return undefined
    return { reason: 'the team\'s queue at the owner is full', retryAfterMs: waitMs }
  }

  const runRequest: Owner['runRequest'] = (request, mayWait, onOutcome) => {
    const manifest = options.config.readDocument()?.manifest
    const service = manifest?.services.find((other) => other.name === request.service)
    const team = manifest?.teams.find((other) => other.name === request.team)
    if (service === undefined || team === undefined) {
      onOutcome(createNotRun('the owner does not know the service or team', NO_ENDPOINT_RETRY_MS))
      return { cancel: () => {} }
    }
    open += 1
    budget.addRequest()
    const deadlineMs = clock.nowMs() + request.remainingMs
    sequence += 1
    const held: Held = {
      id: String(sequence),
      request,
      service,
      weight: team.share,
      deadlineMs,
      onOutcome,
      triedAddresses: new Set(),
      tries: 0,
      mayHaveRun: false,
      ended: false,
      timer: null
    }
    updateEndpoints()
    const refusal = explainRefusal(held, mayWait, team.limits.queuedRequests)
    if (refusal !== undefined) {
      resolveUnsent(held, refusal.reason, refusal.retryAfterMs)
      return { cancel: () => {} }
    }
    const resolveQueued = (reason: string): void => {
      if (getQueue(service.name).removeRequest(held.id) !== undefined) resolveUnsent(held, reason, 0)
    }
    addToQueue(held)
    held.timer = clock.setTimer(request.remainingMs, () => resolveQueued(HOPELESS))
    startService(service.name)
    return { cancel: () => resolveQueued('the caller is gone') }
  }

  store.add(startInterval(clock, options.random, SWEEP_INTERVAL_MS, 0, startAndSweep))

  return {
    runRequest,
    listFreeSlots: () => {
      updateEndpoints()
      const reports = []
      for (const { name } of options.config.readDocument()?.manifest.services ?? []) {
        const { free, total } = book.countSlots(name, clock.nowMs())
        if (total > 0) reports.push({ service: name, free, total, queued: queues.get(name)?.countQueued() ?? 0 })
      }
      return reports
    },
    countStarved: (team) => {
      let starved = passedOn.countRequests(team, clock.nowMs())
      for (const [service, queue] of queues) {
        const queued = queue.countOfTeam(team)
        if (queued > 0) starved += Math.min(queued, book.countSlots(service, clock.nowMs()).free)
      }
      return starved
    },
    hasEndpoints: () => options.workers.listOwnedWorkers().some((worker) => worker.runners.length > 0),
    estimateExchangeMs: book.estimateExchangeMs,
    startWaiting: startAll,
    countOpen: () => open,
    dispose: store.dispose
  }
}
