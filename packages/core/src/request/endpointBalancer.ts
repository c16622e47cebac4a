/** Load balancing over the owner's endpoints: slots, adaptive concurrency limits, and ejection of failing endpoints. */
import type { Random } from '../clock.js'
import {
  EJECT_AFTER_FAILURES, INITIAL_EXCHANGE_MS, MAX_EJECTED_FRACTION, MAX_EJECTION_MS, MAX_REPORTED_LOSERS, MIN_EJECTION_MS,
  EWMA_WEIGHT, SLOW_ENDPOINT_FACTOR
} from './constants.js'

/** An endpoint as listed by its worker. */
export interface EndpointView {
  readonly address: string
  readonly worker: string
  readonly rack: string
  readonly service: string
  /** Number of exchanges that its runner handles concurrently. */
  readonly slots: number
  /** Busy slots in the worker's last report. */
  readonly reportedBusy: number
}

/** Result of an exchange at an endpoint. */
export interface EndpointSample {
  /** `refused`: certainly not executed; `broken`: failed after it may have been executed. */
  readonly kind: 'answered' | 'refused' | 'broken'
  readonly durationMs: number
}

/** The chosen endpoint, and up to `MAX_REPORTED_LOSERS` of those that were rejected. */
export interface EndpointChoice {
  readonly endpoint: EndpointView
  readonly losers: readonly { readonly worker: string, readonly reason: string }[]
}

/** Free and usable slots of one service. */
export interface SlotCount {
  readonly free: number
  readonly total: number
}

/** An ejection or restoration of an endpoint. */
export interface EjectionChange {
  readonly worker: string
  readonly address: string
  readonly change: 'ejected' | 'restored'
}

/** Load balancer over the endpoints of the workers that this entry owns. */
export interface EndpointBalancer {
  /** Replaces the set of endpoints; exchanges in flight at removed endpoints stay counted until released. */
  updateEndpoints: (endpoints: readonly EndpointView[]) => void
  /**
   * Chooses the least loaded endpoint and takes one of its slots.
   *
   * @param canProbe whether the request may probe a failing endpoint, which is safe only if it may be retried
   */
  chooseEndpoint: (
    service: string, nowMs: number, excluded: ReadonlySet<string>, canProbe: boolean
  ) => EndpointChoice | undefined
  /** Releases the slot and updates the endpoint's statistics from the exchange. */
  releaseEndpoint: (address: string, sample: EndpointSample, nowMs: number) => EjectionChange | undefined
  countSlots: (service: string, nowMs: number) => SlotCount
  /** Average duration of an exchange of the service, in milliseconds. */
  estimateExchangeMs: (service: string) => number
}

interface EndpointState {
  view: EndpointView
  isListed: boolean
  inFlight: number
  /** Maximum exchanges in flight since the last report, which may still include them. */
  peakInFlight: number
  /** Slots in use by others according to the last report. */
  externalBusy: number
  limit: number
  averageMs: number
  failures: number
  ejections: number
  ejectedUntilMs: number
  /** Time from which a request may probe a failing endpoint. */
  probeAtMs: number
  /** Half-open: only one exchange at a time until one is answered. */
  isProbing: boolean
}

function createEndpointState (view: EndpointView): EndpointState {
  return {
    view,
    isListed: true,
    inFlight: 0,
    peakInFlight: 0,
    externalBusy: 0,
    limit: view.slots,
    averageMs: 0,
    failures: 0,
    ejections: 0,
    ejectedUntilMs: -Infinity,
    probeAtMs: -Infinity,
    isProbing: false
  }
}

/** Creates a load balancer without endpoints. */
export function createEndpointBalancer (random: Random): EndpointBalancer {
  const endpoints = new Map<string, EndpointState>()
  const averages = new Map<string, number>()
  const byService = new Map<string, EndpointState[]>()

  const estimateExchangeMs = (service: string): number => averages.get(service) ?? INITIAL_EXCHANGE_MS

  const countFree = (state: EndpointState, nowMs: number): number => {
    if (nowMs < state.ejectedUntilMs) return 0
    const limit = state.isProbing ? 1 : Math.floor(state.limit)
    return Math.max(0, limit - state.inFlight - state.externalBusy)
  }

  const updateView = (state: EndpointState, view: EndpointView): void => {
    state.externalBusy = Math.max(0, view.reportedBusy - state.peakInFlight)
    state.peakInFlight = state.inFlight
    state.limit = Math.min(state.limit, view.slots)
    state.view = view
    state.isListed = true
  }

  const updateEndpoints = (views: readonly EndpointView[]): void => {
    for (const state of endpoints.values()) state.isListed = false
    for (const view of views) {
      const state = endpoints.get(view.address)
      if (state === undefined) endpoints.set(view.address, createEndpointState(view))
      else updateView(state, view)
    }
    byService.clear()
    for (const [address, state] of endpoints) {
      if (!state.isListed && state.inFlight === 0) endpoints.delete(address)
      if (!state.isListed) continue
      const list = byService.get(state.view.service)
      if (list === undefined) byService.set(state.view.service, [state])
      else list.push(state)
    }
  }

  const explainRejection = (state: EndpointState, nowMs: number, excluded: ReadonlySet<string>): string => {
    if (excluded.has(state.view.address)) return 'already tried'
    if (nowMs < state.ejectedUntilMs) return 'ejected'
    return countFree(state, nowMs) === 0 ? 'no free slot' : 'higher load'
  }

  /** Computes the load, from 0 to 1; a failing endpoint ranks after all others, or before them when its probe is due. */
  const computeLoad = (state: EndpointState, nowMs: number, canProbe: boolean): number => {
    const isProbe = state.failures > 0 && canProbe && state.inFlight === 0 && nowMs >= state.probeAtMs
    if (isProbe) return -1
    return (state.inFlight + state.externalBusy) / state.view.slots + state.failures
  }

  const findLeastLoaded = (
    service: string, nowMs: number, excluded: ReadonlySet<string>, canProbe: boolean
  ): EndpointState | undefined => {
    let best: EndpointState | undefined
    let bestLoad = Infinity
    let ties = 0
    for (const state of byService.get(service) ?? []) {
      if (excluded.has(state.view.address) || countFree(state, nowMs) === 0) continue
      const load = computeLoad(state, nowMs, canProbe)
      if (load > bestLoad) continue
      ties = load === bestLoad ? ties + 1 : 1
      if (ties > 1 && random.nextFloat() * ties >= 1) continue
      best = state
      bestLoad = load
    }
    return best
  }

  const chooseEndpoint: EndpointBalancer['chooseEndpoint'] = (service, nowMs, excluded, canProbe) => {
    const best = findLeastLoaded(service, nowMs, excluded, canProbe)
    if (best === undefined) return undefined
    const losers = []
    for (const state of byService.get(service) ?? []) {
      if (losers.length >= MAX_REPORTED_LOSERS) break
      if (state !== best) losers.push({ worker: state.view.worker, reason: explainRejection(state, nowMs, excluded) })
    }
    best.inFlight += 1
    best.peakInFlight = Math.max(best.peakInFlight, best.inFlight)
    return { endpoint: best.view, losers }
  }

  /** Whether enough endpoints of the service remain in use after one more ejection. */
  const canEject = (service: string, nowMs: number): boolean => {
    const all = byService.get(service) ?? []
    const ejected = all.filter((state) => nowMs < state.ejectedUntilMs).length
    return ejected + 1 <= all.length * MAX_EJECTED_FRACTION
  }

  const recordFailure = (state: EndpointState, nowMs: number): EjectionChange | undefined => {
    state.failures += 1
    state.limit = Math.max(1, state.limit / 2)
    const pauseMs = Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** state.ejections)
    state.probeAtMs = nowMs + pauseMs
    if (state.failures < EJECT_AFTER_FAILURES && !state.isProbing) return undefined
    state.isProbing = true
    if (nowMs < state.ejectedUntilMs || !canEject(state.view.service, nowMs)) return undefined
    state.ejectedUntilMs = nowMs + pauseMs
    state.ejections += 1
    return { worker: state.view.worker, address: state.view.address, change: 'ejected' }
  }

  const recordResponse = (state: EndpointState, durationMs: number): EjectionChange | undefined => {
    const service = state.view.service
    const wasProbing = state.isProbing
    const average = estimateExchangeMs(service)
    averages.set(service, averages.has(service) ? average + EWMA_WEIGHT * (durationMs - average) : durationMs)
    state.averageMs = state.averageMs === 0 ? durationMs : state.averageMs + EWMA_WEIGHT * (durationMs - state.averageMs)
    state.failures = 0
    state.isProbing = false
    const isSlow = state.averageMs > SLOW_ENDPOINT_FACTOR * computePeerAverage(service)
    state.limit = isSlow
      ? Math.max(1, state.limit * 0.9)
      : Math.min(state.view.slots, state.limit + 1 / state.limit)
    if (!wasProbing) return undefined
    state.ejections = 0
    return { worker: state.view.worker, address: state.view.address, change: 'restored' }
  }

  /** Computes the median of the endpoints' averages, which a single slow endpoint does not shift. */
  const computePeerAverage = (service: string): number => {
    const all = (byService.get(service) ?? []).map((state) => state.averageMs).filter((averageMs) => averageMs > 0)
    if (all.length === 0) return Infinity
    all.sort((a, b) => a - b)
    return all[Math.floor((all.length - 1) / 2)]!
  }

  return {
    updateEndpoints,
    chooseEndpoint,
    estimateExchangeMs,
    releaseEndpoint: (address, sample, nowMs) => {
      const state = endpoints.get(address)
      if (state === undefined || state.inFlight === 0) throw new Error(`no exchange in flight at ${address}`)
      state.inFlight -= 1
      if (!state.isListed && state.inFlight === 0) endpoints.delete(address)
      if (sample.kind === 'answered') return recordResponse(state, sample.durationMs)
      if (sample.kind === 'broken') return recordFailure(state, nowMs)
      state.limit = Math.max(1, state.limit / 2)
      return undefined
    },
    countSlots: (service, nowMs) => {
      let free = 0
      let total = 0
      for (const state of byService.get(service) ?? []) {
        if (nowMs < state.ejectedUntilMs) continue
        free += countFree(state, nowMs)
        total += state.isProbing ? 1 : Math.floor(state.limit)
      }
      return { free, total }
    }
  }
}
