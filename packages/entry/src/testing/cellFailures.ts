/** Failures that tests inject into a cell, singly or in pairs, and the cell that they apply to. */
import type { Manifest, Team } from '@fuchsiatally/core'
import { createCellTraffic, type CellTraffic } from './cellTraffic.js'
import { createEntryCell, type EntryCell } from './entryCell.js'
import { applyEntryCommand, type AcceptedJob } from './entryCommands.js'

/** A cell with its request traffic and jobs. */
export interface ServingCell {
  readonly cell: EntryCell
  readonly traffic: CellTraffic
  readonly accepted: AcceptedJob[]
  /** Versions of concurrent configuration changes that were accepted; all changes are based on the same version. */
  readonly acceptedVersions: number[]
}

/** A failure that lasts until the faults are cleared. */
export interface CellFailure {
  readonly name: string
  readonly begin: (serving: ServingCell) => void
}

/** Index of the only entry in failure domain `b`, which the domain cut isolates; the others are in `a`. */
export const ISOLATED_ENTRY = 2
const WORKER_DOMAINS = ['a', 'a', 'a', 'b', 'b', 'b']
const RACKS = ['a1', 'a2', 'a2', 'b1', 'b1', 'b2']
const PAUSE_DURATION_MS = 12_000
const SLOW_PLATFORM_DELAY_MS = 450
const LOST_RESPONSE_RATE = 0.4
const BURST_JOBS = 20

function createOpenTeam (name: string, share: number, processors: number, requests: number): Team {
  return {
    name,
    share,
    ceiling: { resources: { processors, memoryMb: 100_000, accelerators: 0 }, requests },
    limits: { queuedRequests: 20, requestsPerS: 100, activeJobs: 60 },
    open: true,
    whenCut: 'serve',
    keys: []
  }
}

/** `search` sends a steady load below its ceiling, `press` bursts above its ceiling. */
export const SERVING_TEAMS = [createOpenTeam('search', 2, 40, 24), createOpenTeam('press', 1, 20, 4)]

function createManifest (requestsPerS: number): Manifest {
  return {
    cell: 'test',
    shareWindow: { endMinuteOfDay: 360, lengthMinutes: 720 },
    teams: SERVING_TEAMS.map((team) => ({ ...team, limits: { ...team.limits, requestsPerS } })),
    services: [{
      name: 'pages',
      pool: 'p',
      slotsPerRunner: 4,
      connectionsPerRunner: 16,
      timeoutMs: 2000,
      maxBodyBytes: 10_000,
      reserve: { processors: 0, memoryMb: 0, accelerators: 0 }
    }]
  }
}

/** Creates the cell and starts its traffic. */
export function createServingCell (seed: number): ServingCell {
  const cell = createEntryCell({
    seed, entryDomains: ['a', 'a', 'b'], workerDomains: WORKER_DOMAINS, racks: RACKS, manifest: createManifest(100), outageToleranceMs: 20_000
  })
  const traffic = createCellTraffic(cell, [
    { team: SERVING_TEAMS[0]!, periodMs: 250, burst: 1, serviceTimeMs: 100 },
    { team: SERVING_TEAMS[1]!, periodMs: 1000, burst: 3, serviceTimeMs: 300 }
  ])
  return { cell, traffic, accepted: [], acceptedVersions: [] }
}

/** Submits three jobs, one at each entry: a batch job, a gang and an urgent batch job. */
export async function submitJobs ({ cell, accepted }: ServingCell, runMs: number): Promise<void> {
  const submit = { kind: 'submit' as const, urgent: false, processors: 3, runMs }
  await applyEntryCommand(cell, { ...submit, entry: 0, team: 0, job: 'batch', tasks: 4 }, SERVING_TEAMS, accepted)
  await applyEntryCommand(cell, { ...submit, entry: 1, team: 1, job: 'gang', tasks: 3 }, SERVING_TEAMS, accepted)
  await applyEntryCommand(cell, { ...submit, entry: 2, team: 0, job: 'batch', tasks: 2, urgent: true }, SERVING_TEAMS, accepted)
}

function setDomainCut ({ cell }: ServingCell): void {
  const isolatedEntry = cell.entries[ISOLATED_ENTRY]!
  isolatedEntry.platform.faults.outage = true
  for (const [index, target] of cell.entries.entries()) {
    if (index !== ISOLATED_ENTRY) cell.mesh.setCut(isolatedEntry.incarnation, target.incarnation)
    for (const [worker, model] of cell.workers.entries()) {
      const isSameSide = (WORKER_DOMAINS[worker] === 'b') === (index === ISOLATED_ENTRY)
      if (!isSameSide) target.linkFaults.get(model.id)!.unreachable = true
    }
  }
}

/** Submits a burst of jobs and cancels each as soon as it is accepted. */
function submitCancelledJobs ({ cell, accepted }: ServingCell): void {
  for (let index = 0; index < BURST_JOBS; index++) {
    const { admission } = cell.entries[index % cell.entries.length]!.entry
    const job: AcceptedJob = { team: 'search', id: '', cancelled: false }
    admission.submitJob(SERVING_TEAMS[0]!, undefined, {
      name: 'wave',
      kind: 'batch',
      priority: 'normal',
      taskCount: 2,
      resources: { processors: 2, memoryMb: 64, accelerators: 0 },
      runTimeMs: 5000,
      maxRetries: 1,
      checkpointable: false,
      payload: JSON.stringify({ runMs: 5000 })
    }).then(async (view) => {
      if (view.isErr()) return
      accepted.push({ ...job, id: view.value.id })
      const own = accepted.at(-1)!
      if ((await admission.cancelJob(job.team, own.id)).isOk()) own.cancelled = true
    }, () => {})
  }
}

function proposeConcurrentChanges ({ cell, acceptedVersions }: ServingCell): void {
  const version = cell.entries[0]!.entry.config.readVersion()
  for (const [index, target] of cell.entries.entries()) {
    target.entry.config.proposeChange({ kind: 'applyManifest', manifest: createManifest(101 + index) }, version).then((result) => {
      if (result.isOk()) acceptedVersions.push(result.value.version)
    }, () => {})
  }
}

/** The process is killed but its VM keeps running, so peers see its links close at once; in `entry killed` the links stay open but carry no messages. */
export const ENTRY_KILLED_LINKS_CLOSED: CellFailure = {
  name: 'entry killed, links closed',
  begin: ({ cell }) => {
    cell.entries[0]!.process.kill()
    cell.entries[0]!.mesh.dispose()
  }
}

/** All failures that tests combine; they can be injected independently. */
export const CELL_FAILURES: readonly CellFailure[] = [
  { name: 'entry killed', begin: ({ cell }) => cell.entries[0]!.process.kill() },
  {
    name: 'entry paused 12 s',
    begin: ({ cell }) => {
      const { process } = cell.entries[1]!
      process.pause(200)
      cell.clock.setTimer(PAUSE_DURATION_MS, process.resume)
    }
  },
  { name: 'VM lost', begin: ({ cell }) => cell.loseVm(5) },
  {
    name: 'rack lost',
    begin: ({ cell }) => {
      for (const [worker, rack] of RACKS.entries()) if (rack === 'a2') cell.loseVm(worker)
    }
  },
  { name: 'platform out', begin: ({ cell }) => { for (const { platform } of cell.entries) platform.faults.outage = true } },
  { name: 'platform slow', begin: ({ cell }) => { for (const { platform } of cell.entries) platform.faults.delayMs = SLOW_PLATFORM_DELAY_MS } },
  {
    name: 'answers of writes lost',
    begin: ({ cell }) => { for (const { platform } of cell.entries) platform.faults.lostAnswerRate = LOST_RESPONSE_RATE }
  },
  { name: 'domain cut', begin: setDomainCut },
  { name: 'worker fails everything', begin: ({ cell }) => { cell.workers[3]!.faults.failAllTasks = true } },
  {
    name: 'run times tenfold off',
    begin: ({ cell }) => { for (const [index, { faults }] of cell.workers.entries()) faults.runTimeFactor = index % 2 === 0 ? 10 : 0.1 }
  },
  { name: 'wave of cancellations', begin: submitCancelledJobs },
  {
    name: 'connections of a worker silent',
    begin: ({ cell }) => {
      const { id } = cell.workers[4]!
      cell.oracle.recordUnreachable(id)
      for (const { linkFaults } of cell.entries) linkFaults.get(id)!.silent = true
    }
  },
  { name: 'racing operators', begin: proposeConcurrentChanges }
]
