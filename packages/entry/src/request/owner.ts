/** The owner's side of requests: queue, endpoint choice and exchanges with endpoints. */
import {
  createDisposableStore, createEndpointBook, createRequestQueue, createRetryBudget, startInterval,
  type Clock, type Disposable, type EndpointBook, type EndpointChoice, type EventLog, type FreeSlots, type Random,
  type RequestOutcome, type RequestQueue, type Service, type ServiceRequest, type QueueCapacity
} from '@fuchsiatally/core'
import type { ConfigStore, EndpointClient, ExchangeResult, OwnedWorkers } from '../ports.js'
import {
  MAX_TRIES, MIN_TRY_TIMEOUT_MS, NO_ENDPOINT_RETRY_MS, SWEEP_INTERVAL_MS, TRY_TIMEOUT_FACTOR
} from './constants.js'
import { endpointEjected, endpointRestored, requestPlaced, requestRetried } from './events.js'
import { createNotRun, createUnknown } from './outcome.js'

const NO_ENDPOINT = 'no endpoint of the service is in reach'
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
  /** Calls `onOutcome` exactly once, possibly before it returns. */
  runRequest: (request: ServiceRequest, onOutcome: (outcome: RequestOutcome) => void) => OwnerRun
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

interface Held {
  /** Unique at this owner; a caller's request may come here more than once. */
  readonly id: string
  readonly request: ServiceRequest
  readonly service: Service
  readonly weight: number
  readonly deadlineMs: number
  readonly onOutcome: (outcome: RequestOutcome) => void
  readonly triedAddresses: Set<string>
  tries: number
  /** An earlier exchange broke: the request can never again be called not run. */
  mayHaveRun: boolean
  ended: boolean
  /** Ends the request at its deadline while it is queued. */
  timer: Disposable | null
}

/** Starts the owner's side. */
export function createOwner (options: OwnerOptions): Owner {
  const { clock, allotments, log } = options
  const store = createDisposableStore()
  const book: EndpointBook = createEndpointBook(options.random)
  const budget = createRetryBudget()
  const queues = new Map<string, RequestQueue<Held>>()
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

  /** Time for one try: all that is left, or less if another try would still fit and is paid for. */
  const decideTryMs = (held: Held, remainingMs: number): { timeoutMs: number, retryTaken: boolean } => {
    const wholeMs = Math.min(remainingMs, held.service.timeoutMs)
    const tryMs = Math.max(MIN_TRY_TIMEOUT_MS, TRY_TIMEOUT_FACTOR * book.estimateExchangeMs(held.service.name))
    const canRetry = held.request.idempotent && held.tries < MAX_TRIES && tryMs * 2 < wholeMs
    const retryTaken = canRetry && budget.takeRetry()
    return { timeoutMs: retryTaken ? tryMs : wholeMs, retryTaken }
  }

  const recordSample = (choice: EndpointChoice, result: ExchangeResult, durationMs: number): void => {
    const change = book.releaseEndpoint(choice.endpoint.address, { kind: result.kind, durationMs }, clock.nowMs())
    if (change === undefined) return
    log.record(change.change === 'ejected' ? endpointEjected : endpointRestored, { ...change })
  }

  const canRetry = (held: Held, result: Exclude<ExchangeResult, { kind: 'answered' }>, retryTaken: boolean): boolean => {
    if (held.tries >= MAX_TRIES || clock.nowMs() >= held.deadlineMs) return false
    if (result.kind === 'broken' && (!held.request.idempotent || result.final === true)) return false
    return retryTaken || budget.takeRetry()
  }

  const resolveExchange = (held: Held, choice: EndpointChoice, result: ExchangeResult, retryTaken: boolean): void => {
    if (result.kind === 'answered') {
      if (retryTaken) budget.addRetry()
      return resolveHeld(held, { ...result.outcome, worker: choice.endpoint.worker })
    }
    if (result.kind === 'broken') held.mayHaveRun = true
    if (canRetry(held, result, retryTaken)) {
      log.record(requestRetried, { request: held.request.id, worker: choice.endpoint.worker, reason: result.reason })
      addToQueue(held)
      return
    }
    if (result.kind === 'broken') return resolveHeld(held, createUnknown(result.reason))
    resolveUnsent(held, result.reason, estimateWaitMs(held, getCapacity(held.service.name)))
  }

  const runExchange = async (held: Held, choice: EndpointChoice): Promise<void> => {
    const beganMs = clock.nowMs()
    const { endpoint } = choice
    const { timeoutMs, retryTaken } = decideTryMs(held, held.deadlineMs - beganMs)
    const request = { ...held.request, remainingMs: held.deadlineMs - beganMs }
    const result = await options.endpoints.sendExchange(
      endpoint.address, request, timeoutMs, held.service.maxBodyBytes, held.service.connectionsPerRunner)
    allotments.release(held.request.team)
    recordSample(choice, result, clock.nowMs() - beganMs)
    resolveExchange(held, choice, result, retryTaken)
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

  /** Why a request must not even be queued; `undefined` if it may. */
  const explainRefusal = (held: Held, queuedLimit: number): { reason: string, retryAfterMs: number } | undefined => {
    const capacity = getCapacity(held.service.name)
    if (capacity.slots === 0) return { reason: NO_ENDPOINT, retryAfterMs: NO_ENDPOINT_RETRY_MS }
    const waitMs = estimateWaitMs(held, capacity)
    const neededMs = waitMs === 0 ? 0 : waitMs + book.estimateExchangeMs(held.service.name)
    if (clock.nowMs() + neededMs >= held.deadlineMs) return { reason: HOPELESS, retryAfterMs: waitMs }
    if (waitMs === 0 || countQueuedOfTeam(held.request.team) < queuedLimit) return undefined
    return { reason: 'the team\'s queue at the owner is full', retryAfterMs: waitMs }
  }

  const runRequest = (request: ServiceRequest, onOutcome: (outcome: RequestOutcome) => void): OwnerRun => {
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
    const refusal = explainRefusal(held, team.limits.queuedRequests)
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
      let starved = 0
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
