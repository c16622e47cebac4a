/** `npm run bench -- --live`: real entries and stand-ins on loopback, idle and under a bounded load. */
import { setTimeout as wait } from 'node:timers/promises'
import { startCluster, type Cluster } from '../cluster.js'
import { createDeployment, type Deployment } from '../deployment.js'
import { computeMedian, computeRates, readEntry, type EntryRates } from './liveMetrics.js'
import { runLiveLoad, type LiveLoadResult, type LiveTarget } from './liveLoad.js'

/** Options of a live run. */
export interface LiveOptions {
  /** Workers of the cell in all. */
  readonly workers: number
  readonly entries: number
  /** Length of each part of the run, in milliseconds. */
  readonly partMs: number
}

/** What a live run measured. */
export interface LiveResult {
  readonly options: LiveOptions
  /** Resident memory of a bare Node process on this machine. */
  readonly bareMb: number
  readonly idle: readonly EntryRates[]
  readonly jobs: readonly EntryRates[]
  readonly busy: readonly EntryRates[]
  readonly taskStartsPerS: number
  readonly direct: LiveLoadResult
  readonly routed: LiveLoadResult
}

const GIB_MB = 1024
const SERVICE = 'match'
const TEAM = 'schools'
const SETTLE_MS = 8000
const CALLERS_PER_ENTRY = 2
const ROUNDS = 3
const TASKS_PER_JOB = 20
const JOB_RUN_MS = 2000
const BYTES_PER_MB = 1024 * 1024

function createLiveDeployment (options: LiveOptions): Deployment {
  const deployment = createDeployment({
    cell: 'live',
    domains: ['d1', 'd2', 'd3', 'd4'],
    entryCount: options.entries,
    pools: [{ name: 'matching', count: options.workers, resources: { processors: 16, memoryMb: 64 * GIB_MB, accelerators: 0 }, service: SERVICE }],
    teams: [{ name: TEAM, share: 1 }, { name: 'clubs', share: 1 }],
    requestCeiling: 8 * options.workers
  })
  const teams = deployment.manifest.teams.map((team) => ({ ...team, limits: { queuedRequests: 1000, requestsPerS: 100_000, activeJobs: 1000 } }))
  return { ...deployment, manifest: { ...deployment.manifest, teams } }
}

function createTarget (address: string, path: string, headers: Record<string, string>): LiveTarget {
  const [host, port] = address.split(':')
  return { host: host!, port: Number(port), path, headers }
}

async function measureEntries (cluster: Cluster, run: () => Promise<unknown>): Promise<EntryRates[]> {
  const before = await Promise.all(cluster.entries.map(({ httpAddress }) => readEntry(httpAddress)))
  await run()
  const after = await Promise.all(cluster.entries.map(({ httpAddress }) => readEntry(httpAddress)))
  return after.map((reading, index) => computeRates(before[index]!, reading))
}

/** Submits batch jobs at a steady rate and counts the tasks that were accepted. */
async function runJobs (cluster: Cluster, key: string, durationMs: number): Promise<number> {
  const spec = {
    name: 'pages', kind: 'batch', priority: 'normal', taskCount: TASKS_PER_JOB, resources: { processors: 0.5, memoryMb: 64, accelerators: 0 }, runTimeMs: JOB_RUN_MS, maxRetries: 0, checkpointable: false, payload: JSON.stringify({ runMs: JOB_RUN_MS })
  }
  const endMs = performance.now() + durationMs
  let accepted = 0
  for (let turn = 0; performance.now() < endMs; turn += 1) {
    const { httpAddress } = cluster.entries[turn % cluster.entries.length]!
    const answer = await fetch(`http://${httpAddress}/v1/jobs`, {
      method: 'POST', headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' }, body: JSON.stringify({ spec })
    })
    if (answer.status === 202) accepted += TASKS_PER_JOB
    await answer.arrayBuffer()
    await wait(1000)
  }
  return accepted
}

interface LoadPair {
  readonly direct: LiveLoadResult
  readonly routed: LiveLoadResult
}

/** Loads endpoints directly and through the entries in turn, and keeps the round with the median throughput. */
async function compareLoads (cluster: Cluster, key: string, options: LiveOptions): Promise<LoadPair> {
  const runners = cluster.vms.slice(0, options.entries).map((vm) => createTarget(vm.runners[0]!.address, '/find', {}))
  const entries = cluster.entries.map(({ httpAddress }) => createTarget(httpAddress, `/v1/services/${SERVICE}/find`, { authorization: `Bearer ${key}` }))
  const pairs: LoadPair[] = []
  for (let round = 0; round < ROUNDS; round += 1) {
    const load = { callersPerTarget: CALLERS_PER_ENTRY, durationMs: options.partMs / ROUNDS }
    const direct = await runLiveLoad({ ...load, targets: runners })
    const routed = await runLiveLoad({ ...load, targets: entries })
    pairs.push({ direct, routed })
  }
  return pairs.toSorted((a, b) => a.routed.perSecond - b.routed.perSecond)[Math.floor(ROUNDS / 2)]!
}

async function measureBareMb (): Promise<number> {
  const { execFileSync } = await import('node:child_process')
  const output = execFileSync(process.execPath, ['-e', 'setTimeout(() => console.log(process.memoryUsage.rss()), 500)'])
  return Number(String(output)) / BYTES_PER_MB
}

/** Runs all parts against one cluster. */
export async function runLive (options: LiveOptions): Promise<LiveResult> {
  const deployment = createLiveDeployment(options)
  const key = deployment.keys.get(TEAM)!.key
  const cluster = await startCluster({ deployment, logLevel: 'info' })
  try {
    await wait(SETTLE_MS)
    const idle = await measureEntries(cluster, () => wait(options.partMs))
    let tasks = 0
    const jobs = await measureEntries(cluster, async () => { tasks = await runJobs(cluster, key, options.partMs) })
    let loads: LoadPair | undefined
    const busy = await measureEntries(cluster, async () => { loads = await compareLoads(cluster, key, options) })
    return { options, bareMb: await measureBareMb(), idle, jobs, busy, taskStartsPerS: tasks / (options.partMs / 1000), ...loads! }
  } finally {
    await cluster.stop()
  }
}

function formatRates (name: string, rates: readonly EntryRates[]): string {
  const pick = (read: (rate: EntryRates) => number): string => {
    const values = rates.map(read)
    return `${computeMedian(values).toFixed(1)} (max ${Math.max(...values).toFixed(1)})`
  }
  return [
    `${name}, per entry, median (max):`,
    `  CPU ${pick((rate) => rate.cpuPart * 100)} % of a core, resident ${pick((rate) => rate.residentMb)} MB`,
    `  control ${pick((rate) => rate.controlBytesPerS / 1000)} KB/s: platform ${pick((rate) => rate.platformBytesPerS / 1000)}, workers ${pick((rate) => rate.workerBytesPerS / 1000)}, links ${pick((rate) => rate.linkBytesPerS / 1000)}`
  ].join('\n')
}

function formatLoad (name: string, load: LiveLoadResult): string {
  const [p50, p99] = [50, 99].map((quantile) => (load.latency.getValueAtPercentile(quantile) / 1000).toFixed(2))
  return `${name}: ${load.perSecond.toFixed(0)} requests/s, p50 ${p50} ms, p99 ${p99} ms, ${load.failed} failed`
}

/** Formats a run for people. */
export function formatLive (result: LiveResult): string {
  return [
    `${result.options.workers} workers, ${result.options.entries} entries; a bare Node process has ${result.bareMb.toFixed(1)} MB resident`,
    formatRates('idle', result.idle),
    formatRates(`jobs, ${result.taskStartsPerS.toFixed(1)} task starts/s in the cell`, result.jobs),
    formatRates('requests', result.busy),
    formatLoad('direct to endpoints', result.direct),
    formatLoad('through entries', result.routed)
  ].join('\n')
}
