/** Choice of the endpoint at the owner: slots, adaptive concurrency, ejection of silent endpoints. */
import type { Random } from '../clock.js'
import {
  EJECT_AFTER_FAILURES, INITIAL_EXCHANGE_MS, MAX_EJECTED_PART, MAX_EJECT_MS, MAX_NAMED_LOSERS, MIN_EJECT_MS,
  SAMPLE_WEIGHT, SLOW_FACTOR
} from './constants.js'

/** One endpoint that exchanges may be sent to. */
export interface EndpointView {
  readonly address: string
  readonly worker: string
  readonly rack: string
  readonly service: string
  /** Exchanges that its runner works on at once. */
  readonly slots: number
  /** Busy slots by the worker's last report. */
  readonly reportedBusy: number
}

/** How an exchange left the endpoint. */
export interface EndpointSample {
  readonly kind: 'answered' | 'refused' | 'broken'
  readonly durationMs: number
}

/** The chosen endpoint with those that lost, the first `MAX_NAMED_LOSERS` of them. */
export interface EndpointChoice {
  readonly endpoint: EndpointView
  readonly losers: readonly { readonly worker: string, readonly reason: string }[]
}

/** Free and usable slots of one service. */
export interface SlotCount {
  readonly free: number
  readonly total: number
}

/** An endpoint that was ejected or taken back. */
export interface EjectionChange {
  readonly worker: string
  readonly address: string
  readonly change: 'ejected' | 'restored'
}

/** Endpoints of the workers that this entry owns. */
export interface EndpointBook {
  /** Replaces the set of endpoints; exchanges in flight at endpoints that left stay counted until released. */
  updateEndpoints: (endpoints: readonly EndpointView[]) => void
  /**
   * Chooses an endpoint and takes one of its slots.
   *
   * @param canProbe whether the request may test an endpoint that failed: one that may be sent again
   */
  chooseEndpoint: (
    service: string, nowMs: number, excluded: ReadonlySet<string>, canProbe: boolean
  ) => EndpointChoice | undefined
  /** Gives the slot back and learns from the exchange. */
  releaseEndpoint: (address: string, sample: EndpointSample, nowMs: number) => EjectionChange | undefined
  countSlots: (service: string, nowMs: number) => SlotCount
  /** Average time of a whole exchange of the service, in milliseconds. */
  estimateExchangeMs: (service: string) => number
}

interface KnownEndpoint {
  view: EndpointView
  listed: boolean
  inFlight: number
  /** Most exchanges in flight since the last report, which may still count them. */
  peakInFlight: number
  /** Slots that others hold, by the last report. */
  foreignBusy: number
  limit: number
  averageMs: number
  failures: number
  ejections: number
  ejectedUntilMs: number
  /** Time from which a request tests an endpoint that failed. */
  probeAtMs: number
  /** Only one exchange at a time until one is answered. */
  probing: boolean
}

function createKnownEndpoint (view: EndpointView): KnownEndpoint {
  return {
    view,
    listed: true,
    inFlight: 0,
    peakInFlight: 0,
    foreignBusy: 0,
    limit: view.slots,
    averageMs: 0,
    failures: 0,
    ejections: 0,
    ejectedUntilMs: -Infinity,
    probeAtMs: -Infinity,
    probing: false
  }
}

/** Creates a book without endpoints. */
export function createEndpointBook (random: Random): EndpointBook {
  const endpoints = new Map<string, KnownEndpoint>()
  const averages = new Map<string, number>()
  const byService = new Map<string, KnownEndpoint[]>()

  const estimateExchangeMs = (service: string): number => averages.get(service) ?? INITIAL_EXCHANGE_MS

  const countFree = (known: KnownEndpoint, nowMs: number): number => {
    if (nowMs < known.ejectedUntilMs) return 0
    const limit = known.probing ? 1 : Math.floor(known.limit)
    return Math.max(0, limit - known.inFlight - known.foreignBusy)
  }

  const updateView = (known: KnownEndpoint, view: EndpointView): void => {
    known.foreignBusy = Math.max(0, view.reportedBusy - known.peakInFlight)
    known.peakInFlight = known.inFlight
    known.limit = Math.min(known.limit, view.slots)
    known.view = view
    known.listed = true
  }

  const updateEndpoints = (views: readonly EndpointView[]): void => {
    for (const known of endpoints.values()) known.listed = false
    for (const view of views) {
      const known = endpoints.get(view.address)
      if (known === undefined) endpoints.set(view.address, createKnownEndpoint(view))
      else updateView(known, view)
    }
    byService.clear()
    for (const [address, known] of endpoints) {
      if (!known.listed && known.inFlight === 0) endpoints.delete(address)
      if (!known.listed) continue
      const list = byService.get(known.view.service)
      if (list === undefined) byService.set(known.view.service, [known])
      else list.push(known)
    }
  }

  const explainLoss = (known: KnownEndpoint, nowMs: number, excluded: ReadonlySet<string>): string => {
    if (excluded.has(known.view.address)) return 'tried before'
    if (nowMs < known.ejectedUntilMs) return 'ejected'
    return countFree(known, nowMs) === 0 ? 'no free slot' : 'more loaded'
  }

  /** Load from 0 to 1; a failing endpoint after all others, or before them when a probe of it is due. */
  const computeLoad = (known: KnownEndpoint, nowMs: number, canProbe: boolean): number => {
    const isProbe = known.failures > 0 && canProbe && known.inFlight === 0 && nowMs >= known.probeAtMs
    if (isProbe) return -1
    return (known.inFlight + known.foreignBusy) / known.view.slots + known.failures
  }

  const findLeastLoaded = (
    service: string, nowMs: number, excluded: ReadonlySet<string>, canProbe: boolean
  ): KnownEndpoint | undefined => {
    let best: KnownEndpoint | undefined
    let bestLoad = Infinity
    let ties = 0
    for (const known of byService.get(service) ?? []) {
      if (excluded.has(known.view.address) || countFree(known, nowMs) === 0) continue
      const load = computeLoad(known, nowMs, canProbe)
      if (load > bestLoad) continue
      ties = load === bestLoad ? ties + 1 : 1
      if (ties > 1 && random.nextFloat() * ties >= 1) continue
      best = known
      bestLoad = load
    }
    return best
  }

  const chooseEndpoint: EndpointBook['chooseEndpoint'] = (service, nowMs, excluded, canProbe) => {
    const best = findLeastLoaded(service, nowMs, excluded, canProbe)
    if (best === undefined) return undefined
    const losers = []
    for (const known of byService.get(service) ?? []) {
      if (losers.length >= MAX_NAMED_LOSERS) break
      if (known !== best) losers.push({ worker: known.view.worker, reason: explainLoss(known, nowMs, excluded) })
    }
    best.inFlight += 1
    best.peakInFlight = Math.max(best.peakInFlight, best.inFlight)
    return { endpoint: best.view, losers }
  }

  /** Whether one more ejection keeps enough endpoints of the service in use. */
  const canEject = (service: string, nowMs: number): boolean => {
    const all = byService.get(service) ?? []
    const ejected = all.filter((known) => nowMs < known.ejectedUntilMs).length
    return ejected + 1 <= all.length * MAX_EJECTED_PART
  }

  const recordFailure = (known: KnownEndpoint, nowMs: number): EjectionChange | undefined => {
    known.failures += 1
    known.limit = Math.max(1, known.limit / 2)
    const pauseMs = Math.min(MAX_EJECT_MS, MIN_EJECT_MS * 2 ** known.ejections)
    known.probeAtMs = nowMs + pauseMs
    if (known.failures < EJECT_AFTER_FAILURES && !known.probing) return undefined
    known.probing = true
    if (nowMs < known.ejectedUntilMs || !canEject(known.view.service, nowMs)) return undefined
    known.ejectedUntilMs = nowMs + pauseMs
    known.ejections += 1
    return { worker: known.view.worker, address: known.view.address, change: 'ejected' }
  }

  const recordAnswer = (known: KnownEndpoint, durationMs: number): EjectionChange | undefined => {
    const service = known.view.service
    const wasProbing = known.probing
    const average = estimateExchangeMs(service)
    averages.set(service, averages.has(service) ? average + SAMPLE_WEIGHT * (durationMs - average) : durationMs)
    known.averageMs = known.averageMs === 0 ? durationMs : known.averageMs + SAMPLE_WEIGHT * (durationMs - known.averageMs)
    known.failures = 0
    known.probing = false
    const isSlow = known.averageMs > SLOW_FACTOR * computePeerAverage(service)
    known.limit = isSlow
      ? Math.max(1, known.limit * 0.9)
      : Math.min(known.view.slots, known.limit + 1 / known.limit)
    if (!wasProbing) return undefined
    known.ejections = 0
    return { worker: known.view.worker, address: known.view.address, change: 'restored' }
  }

  /** Median of the endpoints' averages: a slow one does not move it. */
  const computePeerAverage = (service: string): number => {
    const all = (byService.get(service) ?? []).map((known) => known.averageMs).filter((averageMs) => averageMs > 0)
    if (all.length === 0) return Infinity
    all.sort((a, b) => a - b)
    return all[Math.floor((all.length - 1) / 2)]!
  }

  return {
    updateEndpoints,
    chooseEndpoint,
    estimateExchangeMs,
    releaseEndpoint: (address, sample, nowMs) => {
      const known = endpoints.get(address)
      if (known === undefined || known.inFlight === 0) throw new Error(`no exchange in flight at ${address}`)
      known.inFlight -= 1
      if (!known.listed && known.inFlight === 0) endpoints.delete(address)
      if (sample.kind === 'answered') return recordAnswer(known, sample.durationMs)
      if (sample.kind === 'broken') return recordFailure(known, nowMs)
      known.limit = Math.max(1, known.limit / 2)
      return undefined
    },
    countSlots: (service, nowMs) => {
      let free = 0
      let total = 0
      for (const known of byService.get(service) ?? []) {
        if (nowMs < known.ejectedUntilMs) continue
        free += countFree(known, nowMs)
        total += known.probing ? 1 : Math.floor(known.limit)
      }
      return { free, total }
    }
  }
}
