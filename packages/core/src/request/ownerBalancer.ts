/** Load balancing over owners by their last, possibly stale, reports of free slots. */
import type { Random } from '../clock.js'
import type { FreeSlots } from '../schema/linkMessage.js'
import { CROSS_DOMAIN_LATENCY_MS, MAX_SLOT_REPORT_AGE_MS } from './constants.js'

/** Slot report of one owner. */
export interface OwnerReport {
  readonly incarnation: string
  readonly failureDomain: string
  readonly leaving: boolean
  readonly slots: readonly FreeSlots[]
}

/** An owner that the request may be forwarded to. */
export interface RouteCandidate {
  readonly incarnation: string
  readonly sameDomain: boolean
  /** Reported free slots, minus requests queued there and forwarded since. */
  readonly free: number
  readonly total: number
  /** Estimated wait plus network latency, in milliseconds. */
  readonly costMs: number
}

/** The chosen owner and the rejected candidates. */
export interface OwnerChoice {
  readonly owner: RouteCandidate
  readonly losers: readonly RouteCandidate[]
}

/** Load balancer over owners. */
export interface OwnerBalancer {
  /** Replaces the report of one owner. */
  updateOwner: (report: OwnerReport, nowMs: number) => void
  removeOwner: (incarnation: string) => void
  /** Chooses an owner and counts the request against its free slots until its next report. */
  chooseOwner: (
    service: string, exchangeMs: number, nowMs: number, excluded: ReadonlySet<string>
  ) => OwnerChoice | undefined
  /** Whether any owner outside `excluded` reports a free slot. */
  hasFreeOwner: (service: string, nowMs: number, excluded: ReadonlySet<string>) => boolean
}

interface OwnerState {
  readonly report: OwnerReport
  readonly reportedMs: number
  readonly slots: Map<string, FreeSlots>
  /** Requests forwarded since the report, by service. */
  readonly forwarded: Map<string, number>
}

/** Picks a random candidate with probability proportional to its weight. */
function pickWeighted (
  candidates: readonly RouteCandidate[], getWeight: (candidate: RouteCandidate) => number, random: Random
): RouteCandidate {
  let sum = 0
  for (const candidate of candidates) sum += getWeight(candidate)
  let rest = random.nextFloat() * sum
  for (const candidate of candidates) {
    rest -= getWeight(candidate)
    if (rest < 0) return candidate
  }
  return candidates[candidates.length - 1]!
}

/** Power of two choices: picks two candidates by weight and keeps the better, which avoids herding when entries act on the same reports. */
function pickOfTwo (candidates: readonly RouteCandidate[], random: Random): RouteCandidate | undefined {
  if (candidates.length < 2) return candidates[0]
  const withFreeSlots = candidates.filter((candidate) => candidate.free > 0)
  const pool = withFreeSlots.length > 0 ? withFreeSlots : candidates
  const getWeight = (candidate: RouteCandidate): number => withFreeSlots.length > 0 ? candidate.free : candidate.total
  const first = pickWeighted(pool, getWeight, random)
  const second = pickWeighted(pool, getWeight, random)
  if (first.costMs !== second.costMs) return first.costMs < second.costMs ? first : second
  return first.free / first.total >= second.free / second.total ? first : second
}

/**
 * Creates a load balancer without reports.
 *
 * @param failureDomain failure domain of this entry
 */
export function createOwnerBalancer (failureDomain: string, random: Random): OwnerBalancer {
  const owners = new Map<string, OwnerState>()

  const buildCandidate = (state: OwnerState, service: string, exchangeMs: number): RouteCandidate | undefined => {
    const slots = state.slots.get(service)
    if (slots === undefined || slots.total <= 0) return undefined
    const free = slots.free - slots.queued - (state.forwarded.get(service) ?? 0)
    const sameDomain = state.report.failureDomain === failureDomain
    const waitMs = free > 0 ? 0 : (1 - free) * exchangeMs / slots.total
    return {
      incarnation: state.report.incarnation,
      sameDomain,
      free,
      total: slots.total,
      costMs: waitMs + (sameDomain ? 0 : CROSS_DOMAIN_LATENCY_MS)
    }
  }

  const listCandidates = (
    service: string, exchangeMs: number, nowMs: number, excluded: ReadonlySet<string>
  ): RouteCandidate[] => {
    const candidates: RouteCandidate[] = []
    for (const state of owners.values()) {
      if (state.report.leaving || nowMs - state.reportedMs > MAX_SLOT_REPORT_AGE_MS) continue
      if (excluded.has(state.report.incarnation)) continue
      const candidate = buildCandidate(state, service, exchangeMs)
      if (candidate !== undefined) candidates.push(candidate)
    }
    return candidates
  }

  return {
    updateOwner: (report, nowMs) => {
      const slots = new Map(report.slots.map((slot) => [slot.service, slot]))
      owners.set(report.incarnation, { report, reportedMs: nowMs, slots, forwarded: new Map() })
    },
    removeOwner: (incarnation) => { owners.delete(incarnation) },
    hasFreeOwner: (service, nowMs, excluded) =>
      listCandidates(service, 0, nowMs, excluded).some((candidate) => candidate.free > 0),
    chooseOwner: (service, exchangeMs, nowMs, excluded) => {
      const candidates = listCandidates(service, exchangeMs, nowMs, excluded)
      const local = pickOfTwo(candidates.filter((candidate) => candidate.sameDomain), random)
      const remote = pickOfTwo(candidates.filter((candidate) => !candidate.sameDomain), random)
      const owner = local === undefined || (remote !== undefined && remote.costMs < local.costMs) ? remote : local
      if (owner === undefined) return undefined
      const forwarded = owners.get(owner.incarnation)!.forwarded
      forwarded.set(service, (forwarded.get(service) ?? 0) + 1)
      return { owner, losers: candidates.filter((candidate) => candidate !== owner) }
    }
  }
}
