/** Accounts of what each team received and what it was entitled to, kept apart from the scheduler's own. */
import type { Resources } from '@fuchsiatally/core'
import type { JobArrival } from './arrivals.js'
import type { BenchCell } from './benchCell.js'

/** Part in use by each team at a time. */
export interface ShareSample { readonly atMs: number, readonly team: string, readonly part: number, readonly received: number }

/** A team's part over the whole run. */
export interface TeamResult {
  readonly team: string
  readonly share: number
  /** Received over entitled; 1 is exactly its share. */
  readonly receivedOverEntitled: number
  /** Whether work was left that it could have used more for, through to the end. */
  readonly enoughDemand: boolean
}

/** Accounts of a run. */
export interface ShareAccounts {
  recordArrival: (arrival: JobArrival) => void
  recordCancel: (arrival: JobArrival, tasks: number) => void
  recordRunning: (arrival: JobArrival, count: 1 | -1, nowMs: number) => void
  updateSample: (nowMs: number) => void
  listSamples: () => readonly ShareSample[]
  listTeams: () => TeamResult[]
  computeWorst: () => number
}

interface Account {
  readonly team: string
  readonly share: number
  readonly running: { processors: number, memoryMb: number, accelerators: number }
  /** Resource time received, in milliseconds of each component. */
  readonly received: { processors: number, memoryMb: number, accelerators: number }
  receivedMs: number
  /** Resource time asked for, in milliseconds of each component. */
  readonly asked: { processors: number, memoryMb: number, accelerators: number }
  askedMs: number
  settledMs: number
  entitledMs: number
}

/** Demand beyond the share that counts as enough. */
const ENOUGH_PART = 1.15

/** Creates empty accounts. */
export function createShareAccounts (cell: BenchCell, capacity: Resources): ShareAccounts {
  const accounts = new Map<string, Account>(cell.teams.map(({ name, share }) => [name, {
    team: name,
    share,
    running: { processors: 0, memoryMb: 0, accelerators: 0 },
    received: { processors: 0, memoryMb: 0, accelerators: 0 },
    receivedMs: 0,
    asked: { processors: 0, memoryMb: 0, accelerators: 0 },
    askedMs: 0,
    settledMs: 0,
    entitledMs: 0
  }]))
  const samples: ShareSample[] = []

  const computePart = (amounts: Resources): number => Math.max(
    amounts.processors / capacity.processors,
    amounts.memoryMb / capacity.memoryMb,
    capacity.accelerators > 0 ? amounts.accelerators / capacity.accelerators : 0
  )

  const settle = (account: Account, nowMs: number): void => {
    const passedMs = Math.max(0, nowMs - account.settledMs)
    account.received.processors += account.running.processors * passedMs
    account.received.memoryMb += account.running.memoryMb * passedMs
    account.received.accelerators += account.running.accelerators * passedMs
    account.receivedMs = computePart(account.received)
    account.settledMs = Math.max(account.settledMs, nowMs)
  }

  const updateAsked = (arrival: JobArrival, tasks: number): void => {
    const account = accounts.get(arrival.row.team)!
    const { resources } = arrival.row.spec
    const leftMs = cell.durationMs - arrival.atMs
    let sumMs = 0
    for (const runMs of arrival.runMs) sumMs += Math.min(runMs, leftMs)
    const askedMs = sumMs * tasks / arrival.runMs.length
    account.asked.processors += resources.processors * askedMs
    account.asked.memoryMb += resources.memoryMb * askedMs
    account.asked.accelerators += resources.accelerators * askedMs
    account.askedMs = computePart(account.asked)
  }

  /** Splits what all teams received by share; what a team did not ask for goes to the others. */
  const updateEntitled = (): void => {
    let leftMs = 0
    for (const account of accounts.values()) leftMs += account.receivedMs
    let open = [...accounts.values()]
    for (;;) {
      const shares = open.reduce((sum, account) => sum + account.share, 0)
      const level = leftMs / shares
      const met = open.filter((account) => account.askedMs < level * account.share)
      for (const account of open) account.entitledMs = Math.min(account.askedMs, level * account.share)
      if (met.length === 0) return
      for (const account of met) leftMs -= account.askedMs
      open = open.filter((account) => !met.includes(account))
      if (open.length === 0) return
    }
  }

  const listTeams = (): TeamResult[] => {
    updateEntitled()
    return [...accounts.values()].map((account) => ({
      team: account.team,
      share: account.share,
      receivedOverEntitled: account.entitledMs > 0 ? account.receivedMs / account.entitledMs : 1,
      enoughDemand: account.askedMs >= account.entitledMs * ENOUGH_PART
    }))
  }

  return {
    recordArrival: (arrival) => {
      updateAsked(arrival, arrival.runMs.length)
    },
    recordCancel: (arrival, tasks) => {
      updateAsked(arrival, -tasks)
    },
    recordRunning: (arrival, count, nowMs) => {
      const account = accounts.get(arrival.row.team)!
      settle(account, nowMs)
      const { resources } = arrival.row.spec
      account.running.processors += resources.processors * count
      account.running.memoryMb += resources.memoryMb * count
      account.running.accelerators += resources.accelerators * count
    },
    updateSample: (nowMs) => {
      for (const account of accounts.values()) {
        settle(account, nowMs)
        samples.push({ atMs: nowMs, team: account.team, part: computePart(account.running), received: account.receivedMs })
      }
    },
    listSamples: () => samples,
    listTeams,
    computeWorst: () => {
      let worst = 0
      for (const team of listTeams()) {
        if (team.enoughDemand) worst = Math.max(worst, Math.abs(team.receivedOverEntitled - 1))
      }
      return worst
    }
  }
}
