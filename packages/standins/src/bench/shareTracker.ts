/** Tracks the resource time that each team received and was entitled to, independently of the scheduler's accounting. */
import type { Resources } from '@fuchsiatally/core'
import type { JobArrival } from './arrivals.js'
import type { BenchCell } from './benchCell.js'

/** A team's dominant share in use (`part`) at one point in time, and the resource time that it has received until then. */
export interface ShareSample { readonly atMs: number, readonly team: string, readonly part: number, readonly received: number }

/** Resource time of a team over the whole simulation. */
export interface TeamResult {
  readonly team: string
  readonly share: number
  /** Received divided by entitled resource time; 1 if the team got exactly its share. */
  readonly receivedOverEntitled: number
  /** Whether the demand exceeded the entitlement by enough for the team to use more than its share. */
  readonly enoughDemand: boolean
}

/** Tracker of one simulation. */
export interface ShareTracker {
  recordArrival: (arrival: JobArrival) => void
  recordCancel: (arrival: JobArrival, tasks: number) => void
  recordRunning: (arrival: JobArrival, count: 1 | -1, nowMs: number) => void
  recordSample: (nowMs: number) => void
  listSamples: () => readonly ShareSample[]
  listTeams: () => TeamResult[]
  computeWorstDeviation: () => number
}

interface TeamUsage {
  readonly team: string
  readonly share: number
  readonly running: { processors: number, memoryMb: number, accelerators: number }
  /** Resource time received: amount of each resource, multiplied by milliseconds. */
  readonly received: { processors: number, memoryMb: number, accelerators: number }
  receivedMs: number
  /** Resource time requested: amount of each resource, multiplied by milliseconds. */
  readonly demand: { processors: number, memoryMb: number, accelerators: number }
  demandMs: number
  updatedMs: number
  entitledMs: number
}

/** Minimum ratio of demand to entitlement that counts as enough demand. */
const ENOUGH_DEMAND_FACTOR = 1.15

export function createShareTracker (cell: BenchCell, capacity: Resources): ShareTracker {
  const usageByTeam = new Map<string, TeamUsage>(cell.teams.map(({ name, share }) => [name, {
    team: name,
    share,
    running: { processors: 0, memoryMb: 0, accelerators: 0 },
    received: { processors: 0, memoryMb: 0, accelerators: 0 },
    receivedMs: 0,
    demand: { processors: 0, memoryMb: 0, accelerators: 0 },
    demandMs: 0,
    updatedMs: 0,
    entitledMs: 0
  }]))
  const samples: ShareSample[] = []

  const computeDominantShare = (amounts: Resources): number => Math.max(
    amounts.processors / capacity.processors,
    amounts.memoryMb / capacity.memoryMb,
    capacity.accelerators > 0 ? amounts.accelerators / capacity.accelerators : 0
  )

  const updateReceived = (usage: TeamUsage, nowMs: number): void => {
    const elapsedMs = Math.max(0, nowMs - usage.updatedMs)
    usage.received.processors += usage.running.processors * elapsedMs
    usage.received.memoryMb += usage.running.memoryMb * elapsedMs
    usage.received.accelerators += usage.running.accelerators * elapsedMs
    usage.receivedMs = computeDominantShare(usage.received)
    usage.updatedMs = Math.max(usage.updatedMs, nowMs)
  }

  const updateDemand = (arrival: JobArrival, tasks: number): void => {
    const usage = usageByTeam.get(arrival.row.team)!
    const { resources } = arrival.row.spec
    const remainingMs = cell.durationMs - arrival.atMs
    let jobRunMs = 0
    for (const runMs of arrival.runMs) jobRunMs += Math.min(runMs, remainingMs)
    const demandMs = jobRunMs * tasks / arrival.runMs.length
    usage.demand.processors += resources.processors * demandMs
    usage.demand.memoryMb += resources.memoryMb * demandMs
    usage.demand.accelerators += resources.accelerators * demandMs
    usage.demandMs = computeDominantShare(usage.demand)
  }

  /** Divides the total received resource time among the teams in proportion to their shares (water-filling); what exceeds the demand of a team goes to the others. */
  const updateEntitlements = (): void => {
    let remainingMs = 0
    for (const usage of usageByTeam.values()) remainingMs += usage.receivedMs
    let unsatisfied = [...usageByTeam.values()]
    for (;;) {
      const shares = unsatisfied.reduce((sum, usage) => sum + usage.share, 0)
      const msPerShare = remainingMs / shares
      const satisfied = unsatisfied.filter((usage) => usage.demandMs < msPerShare * usage.share)
      for (const usage of unsatisfied) usage.entitledMs = Math.min(usage.demandMs, msPerShare * usage.share)
      if (satisfied.length === 0) return
      for (const usage of satisfied) remainingMs -= usage.demandMs
      unsatisfied = unsatisfied.filter((usage) => !satisfied.includes(usage))
      if (unsatisfied.length === 0) return
    }
  }

  const listTeams = (): TeamResult[] => {
    updateEntitlements()
    return [...usageByTeam.values()].map((usage) => ({
      team: usage.team,
      share: usage.share,
      receivedOverEntitled: usage.entitledMs > 0 ? usage.receivedMs / usage.entitledMs : 1,
      enoughDemand: usage.demandMs >= usage.entitledMs * ENOUGH_DEMAND_FACTOR
    }))
  }

  return {
    recordArrival: (arrival) => {
      updateDemand(arrival, arrival.runMs.length)
    },
    recordCancel: (arrival, tasks) => {
      updateDemand(arrival, -tasks)
    },
    recordRunning: (arrival, count, nowMs) => {
      const usage = usageByTeam.get(arrival.row.team)!
      updateReceived(usage, nowMs)
      const { resources } = arrival.row.spec
      usage.running.processors += resources.processors * count
      usage.running.memoryMb += resources.memoryMb * count
      usage.running.accelerators += resources.accelerators * count
    },
    recordSample: (nowMs) => {
      for (const usage of usageByTeam.values()) {
        updateReceived(usage, nowMs)
        samples.push({ atMs: nowMs, team: usage.team, part: computeDominantShare(usage.running), received: usage.receivedMs })
      }
    },
    listSamples: () => samples,
    listTeams,
    computeWorstDeviation: () => {
      let worst = 0
      for (const team of listTeams()) {
        if (team.enoughDemand) worst = Math.max(worst, Math.abs(team.receivedOverEntitled - 1))
      }
      return worst
    }
  }
}
