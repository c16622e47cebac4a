/** Choice of the owner that a request is forwarded to, on stale reports of free slots. */
import type { Random } from '../clock.js'
import type { FreeSlots } from '../schema/linkMessage.js'
import { CROSS_DOMAIN_MS, SLOTS_MAX_AGE_MS } from './constants.js'

/** What one owner reported. */
export interface OwnerReport {
  readonly incarnation: string
  readonly failureDomain: string
  readonly leaving: boolean
  readonly slots: readonly FreeSlots[]
}

/** An owner that could have been chosen. */
export interface RouteCandidate {
  readonly incarnation: string
  readonly sameDomain: boolean
  /** Reported free slots less what was forwarded since. */
  readonly free: number
  readonly total: number
  /** Estimated wait and added latency, in milliseconds. */
  readonly costMs: number
}

/** The chosen owner with those that lost. */
export interface OwnerChoice {
  readonly owner: RouteCandidate
  readonly losers: readonly RouteCandidate[]
}

/** Keeps the owners' reports and chooses among them. */
export interface OwnerChooser {
  /** Replaces the report of one owner. */
  updateOwner: (report: OwnerReport, nowMs: number) => void
  removeOwner: (incarnation: string) => void
  /** Chooses and counts the request against the owner's free slots until its next report. */
  chooseOwner: (
    service: string, exchangeMs: number, nowMs: number, excluded: ReadonlySet<string>
  ) => OwnerChoice | undefined
  /** Whether any owner outside `excluded` reports a free slot. */
  hasFreeOwner: (service: string, nowMs: number, excluded: ReadonlySet<string>) => boolean
}

interface KnownOwner {
  readonly report: OwnerReport
  readonly reportedMs: number
  readonly slots: Map<string, FreeSlots>
  /** Requests forwarded since the report, by service. */
  readonly forwarded: Map<string, number>
}

/** Picks one candidate with a chance in proportion to its weight. */
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

/** Draws two candidates by weight and keeps the better: spreads what was decided on equal reports. */
function pickOfTwo (candidates: readonly RouteCandidate[], random: Random): RouteCandidate | undefined {
  if (candidates.length < 2) return candidates[0]
  const withFree = candidates.filter((candidate) => candidate.free > 0)
  const pool = withFree.length > 0 ? withFree : candidates
  const getWeight = (candidate: RouteCandidate): number => withFree.length > 0 ? candidate.free : candidate.total
  const first = pickWeighted(pool, getWeight, random)
  const second = pickWeighted(pool, getWeight, random)
  if (first.costMs !== second.costMs) return first.costMs < second.costMs ? first : second
  return first.free / first.total >= second.free / second.total ? first : second
}

/**
 * Creates a chooser without reports.
 *
 * @param failureDomain domain of this entry
 */
export function createOwnerChooser (failureDomain: string, random: Random): OwnerChooser {
  const owners = new Map<string, KnownOwner>()

  const computeCandidate = (known: KnownOwner, service: string, exchangeMs: number): RouteCandidate | undefined => {
    const slots = known.slots.get(service)
    if (slots === undefined || slots.total <= 0) return undefined
    const free = slots.free - slots.queued - (known.forwarded.get(service) ?? 0)
    const sameDomain = known.report.failureDomain === failureDomain
    const waitMs = free > 0 ? 0 : (1 - free) * exchangeMs / slots.total
    return {
      incarnation: known.report.incarnation,
      sameDomain,
      free,
      total: slots.total,
      costMs: waitMs + (sameDomain ? 0 : CROSS_DOMAIN_MS)
    }
  }

  const listCandidates = (
    service: string, exchangeMs: number, nowMs: number, excluded: ReadonlySet<string>
  ): RouteCandidate[] => {
    const candidates: RouteCandidate[] = []
    for (const known of owners.values()) {
      if (known.report.leaving || nowMs - known.reportedMs > SLOTS_MAX_AGE_MS) continue
      if (excluded.has(known.report.incarnation)) continue
      const candidate = computeCandidate(known, service, exchangeMs)
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
      const near = pickOfTwo(candidates.filter((candidate) => candidate.sameDomain), random)
      const far = pickOfTwo(candidates.filter((candidate) => !candidate.sameDomain), random)
      const owner = near === undefined || (far !== undefined && far.costMs < near.costMs) ? far : near
      if (owner === undefined) return undefined
      const forwarded = owners.get(owner.incarnation)!.forwarded
      forwarded.set(service, (forwarded.get(service) ?? 0) + 1)
      return { owner, losers: candidates.filter((candidate) => candidate !== owner) }
    }
  }
}
