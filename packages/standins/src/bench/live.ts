/** `npm run bench -- --live`: benchmarks real entries with stand-ins on loopback, idle and under a closed-loop load. */
import { setTimeout as wait } from 'node:timers/promises'
import { startCluster, type Cluster } from '../cluster.js'
import { createDeployment, type Deployment } from '../deployment.js'
import { computeMedian, computeRates, readEntrySnapshot, type EntryRates } from './liveMetrics.js'
import { runLiveLoad, type LiveLoadResult, type LiveTarget } from './liveLoad.js'

/** Options of a live benchmark. */
export interface LiveOptions {
  /** Total number of workers in the cell. */
  readonly workers: number
  readonly entries: number
  /** Duration of each phase, in milliseconds. */
  readonly partMs: number
}

/** Results of a live benchmark. */
export interface LiveResult {
  readonly options: LiveOptions
  /** Resident memory of a Node.js process that loads nothing, on this host. */
  readonly bareMb: number
  readonly idle: readonly EntryRates[]
  readonly jobs: readonly EntryRates[]
  readonly busy: readonly EntryRates[]
  readonly taskStartsPerS: number
  readonly direct: LiveLoadResult
  readonly routed: LiveLoadResult
}

const MB_PER_GIB = 1024
const SERVICE = 'match'
const TEAM = 'schools'
const STARTUP_WAIT_MS = 8000
const CALLERS_PER_ENTRY = 2
const LOAD_ROUNDS = 3
const TASKS_PER_JOB = 20
const TASK_RUN_MS = 2000
const BYTES_PER_MB = 1024 * 1024

function createLiveDeployment (options: LiveOptions): Deployment {
  const deployment = createDeployment({
    cell: 'live',
    domains: ['d1', 'd2', 'd3', 'd4'],
    entryCount: options.entries,
    pools: [{ name: 'matching', count: options.workers, resources: { processors: 16, memoryMb: 64 * MB_PER_GIB, accelerators: 0 }, service: SERVICE }],
    teams: [{ name: TEAM, share: 1 }, { name: 'clubs', share: 1 }],
    requestCeiling: 8 * options.workers
  })
  const teams = deployment.manifest.teams.map((team) => ({ ...team, limits: { queuedRequests: 1000, requestsPerS: 100_000, activeJobs: 1000 } }))
  return { ...deployment, manifest: { ...deployment.manifest, teams } }
}

function createLoadTarget (address: string, path: string, headers: Record<string, string>): LiveTarget {
  const [host, port] = address.split(':')
  return { host: host!, port: Number(port), path, headers }
}

async function measureEntries (cluster: Cluster, runWorkload: () => Promise<unknown>): Promise<EntryRates[]> {
  const before = await Promise.all(cluster.entries.map(({ httpAddress }) => readEntrySnapshot(httpAddress)))
  await runWorkload()
  const after = await Promise.all(cluster.entries.map(({ httpAddress }) => readEntrySnapshot(httpAddress)))
  return after.map((snapshot, index) => computeRates(before[index]!, snapshot))
}

/** Submits about one batch job per second and returns the number of accepted tasks. */
async function submitJobs (cluster: Cluster, key: string, durationMs: number): Promise<number> {
  const spec = {
    name: 'pages', kind: 'batch', priority: 'normal', taskCount: TASKS_PER_JOB, resources: { processors: 0.5, memoryMb: 64, accelerators: 0 }, runTimeMs: TASK_RUN_MS, maxRetries: 0, checkpointable: false, payload: JSON.stringify({ runMs: TASK_RUN_MS })
  }
  const endMs = performance.now() + durationMs
  let acceptedTasks = 0
  for (let submission = 0; performance.now() < endMs; submission += 1) {
    const { httpAddress } = cluster.entries[submission % cluster.entries.length]!
    const response = await fetch(`http://${httpAddress}/v1/jobs`, {
      method: 'POST', headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' }, body: JSON.stringify({ spec })
    })
    if (response.status === 202) acceptedTasks += TASKS_PER_JOB
    await response.arrayBuffer()
    await wait(1000)
  }
  return acceptedTasks
}

interface LoadComparison {
  readonly direct: LiveLoadResult
  readonly routed: LiveLoadResult
}

/** Alternates load sent directly to endpoints with load through the entries, and returns the round with the median routed throughput. */
async function compareLoads (cluster: Cluster, key: string, options: LiveOptions): Promise<LoadComparison> {
  const runners = cluster.vms.slice(0, options.entries).map((vm) => createLoadTarget(vm.runners[0]!.address, '/find', {}))
  const entries = cluster.entries.map(({ httpAddress }) => createLoadTarget(httpAddress, `/v1/services/${SERVICE}/find`, { authorization: `Bearer ${key}` }))
  const rounds: LoadComparison[] = []
  for (let round = 0; round < LOAD_ROUNDS; round += 1) {
    const load = { callersPerTarget: CALLERS_PER_ENTRY, durationMs: options.partMs / LOAD_ROUNDS }
    const direct = await runLiveLoad({ ...load, targets: runners })
    const routed = await runLiveLoad({ ...load, targets: entries })
    rounds.push({ direct, routed })
  }
  return rounds.toSorted((a, b) => a.routed.perSecond - b.routed.perSecond)[Math.floor(LOAD_ROUNDS / 2)]!
}

async function measureBaselineMb (): Promise<number> {
  const { execFileSync } = await import('node:child_process')
  const output = execFileSync(process.execPath, ['-e', 'setTimeout(() => console.log(process.memoryUsage.rss()), 500)'])
  return Number(String(output)) / BYTES_PER_MB
}

/** Runs all phases against one cluster. */
export async function runLive (options: LiveOptions): Promise<LiveResult> {
  const deployment = createLiveDeployment(options)
  const key = deployment.keys.get(TEAM)!.key
  const cluster = await startCluster({ deployment, logLevel: 'info' })
  try {
    await wait(STARTUP_WAIT_MS)
    const idle = await measureEntries(cluster, () => wait(options.partMs))
    let acceptedTasks = 0
    const jobs = await measureEntries(cluster, async () => { acceptedTasks = await submitJobs(cluster, key, options.partMs) })
    let loads: LoadComparison | undefined
    const busy = await measureEntries(cluster, async () => { loads = await compareLoads(cluster, key, options) })
    return { options, bareMb: await measureBaselineMb(), idle, jobs, busy, taskStartsPerS: acceptedTasks / (options.partMs / 1000), ...loads! }
  } finally {
    await cluster.stop()
  }
}

function formatRates (name: string, rates: readonly EntryRates[]): string {
  const formatMedian = (read: (rate: EntryRates) => number): string => {
    const values = rates.map(read)
    return `${computeMedian(values).toFixed(1)} (max ${Math.max(...values).toFixed(1)})`
  }
  return [
    `${name}, per entry, median (max):`,
    `  CPU ${formatMedian((rate) => rate.cpuPart * 100)} % of one core, resident memory ${formatMedian((rate) => rate.residentMb)} MB`,
    `  control traffic ${formatMedian((rate) => rate.controlBytesPerS / 1000)} KB/s: platform ${formatMedian((rate) => rate.platformBytesPerS / 1000)}, workers ${formatMedian((rate) => rate.workerBytesPerS / 1000)}, links ${formatMedian((rate) => rate.linkBytesPerS / 1000)}`
  ].join('\n')
}

function formatLoad (name: string, load: LiveLoadResult): string {
  const [p50, p99] = [50, 99].map((quantile) => (load.latency.getValueAtPercentile(quantile) / 1000).toFixed(2))
  return `${name}: ${load.perSecond.toFixed(0)} requests/s, p50 ${p50} ms, p99 ${p99} ms, ${load.failed} failed`
}

/** Formats the results as text. */
export function formatLive (result: LiveResult): string {
  return [
    `${result.options.workers} workers, ${result.options.entries} entries; empty Node.js process: ${result.bareMb.toFixed(1)} MB resident`,
    formatRates('idle', result.idle),
    formatRates(`jobs, ${result.taskStartsPerS.toFixed(1)} accepted tasks/s in the cell`, result.jobs),
    formatRates('requests', result.busy),
    formatLoad('direct to endpoints', result.direct),
    formatLoad('through entries', result.routed)
  ].join('\n')
}
