/** Runs a deployment as processes: platform stand-in, worker stand-ins and entries. */
import { createHash, randomBytes } from 'node:crypto'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import type { Vm } from '@fuchsiatally/core'
import { type Child, startChild } from './childProcess.js'
import type { Deployment } from './deployment.js'
import { type EntryProcess, startEntryProcess } from './entryProcess.js'
import { callControl } from './httpStandin.js'
import type { PlatformControl, PlatformServerOptions } from './platformServer.js'
import type { WorkerRecords } from './records.js'
import { startRelay } from './relay.js'
import { type ClusterRelays, startClusterRelays } from './clusterRelays.js'
import type { WorkerControl } from './workerHost.js'

export interface ClusterOptions {
  readonly deployment: Deployment
  /** Rate limits and delays of the platform stand-in. */
  readonly platform?: PlatformServerOptions
  /** Default `info`. */
  readonly logLevel?: 'debug' | 'info'
  /** Whether all connections of the entries go through fault-injecting relays; default `false`. */
  readonly relayed?: boolean
}

export interface Cluster {
  readonly deployment: Deployment
  readonly operatorKey: string
  readonly platformAddress: string
  /** Entries by index; a stopped entry stays in the list until `startEntry` replaces it. */
  readonly entries: EntryProcess[]
  readonly vms: readonly Vm[]
  /** Set if the option `relayed` is. */
  readonly relays: ClusterRelays | undefined
  readonly startEntry: (index: number) => Promise<EntryProcess>
  readonly controlPlatform: (control: PlatformControl) => Promise<void>
  readonly controlWorker: (control: WorkerControl) => Promise<void>
  readonly readRecords: () => Promise<WorkerRecords>
  /** Stops every process, entries first; returns the names of the entries that were still running and did not exit with code 0 after SIGTERM. */
  readonly stop: () => Promise<string[]>
}

const STOP_TIMEOUT_MS = 8000
const READY_TIMEOUT_MS = 30_000
const POLL_INTERVAL_MS = 100
const OPERATOR_KEY_BYTES = 24

/** Starts all processes of a deployment and applies its manifest. */
export async function startCluster (options: ClusterOptions): Promise<Cluster> {
  const { deployment } = options
  const directory = mkdtempSync(join(tmpdir(), `fuchsiatally-${deployment.cell}-`))
  const operatorKey = randomBytes(OPERATOR_KEY_BYTES).toString('hex')
  const platform = startStandin('platformStandin', [JSON.stringify(options.platform ?? {})])
  const workerHost = startStandin('workerStandin', [], JSON.stringify(deployment.workers) + '\n')
  const { address: platformAddress } = await readReadyMessage<{ address: string }>(platform)
  const { controlAddress, vms: hostedVms } = await readReadyMessage<{ controlAddress: string, vms: Vm[] }>(workerHost)
  const relayed = options.relayed === true
    ? await startClusterRelays(platformAddress, deployment.entryDomains.length, hostedVms)
    : undefined
  const relays = relayed?.relays
  const vms = relayed?.vms ?? hostedVms
  await callControl(platformAddress, '/control', { vms, atOnce: true })

  const registerLinkRelay = async (index: number, entry: EntryProcess): Promise<void> => {
    if (relays === undefined) return
    await relays.links.get(index)?.stop()
    const relay = await startRelay(entry.linkAddress)
    relays.links.set(index, relay)
    await callControl(platformAddress, '/control', { shownAddresses: { [entry.linkAddress]: relay.address } })
  }

  const startEntryAt = async (index: number): Promise<EntryProcess> => {
    const entry = await startEntryProcess({
      name: `${deployment.cell}-e${index}`,
      failureDomain: deployment.entryDomains[index]!,
      cell: deployment.cell,
      platformAddress: relays?.platform[index]?.address ?? platformAddress,
      operatorKeySha256: createHash('sha256').update(operatorKey).digest('hex'),
      directory,
      logLevel: options.logLevel ?? 'info'
    })
    await registerLinkRelay(index, entry)
    return entry
  }
  const entries = await Promise.all(deployment.entryDomains.map((_, index) => startEntryAt(index)))
  await applyManifest(entries[0]!, operatorKey, deployment)
  for (const entry of entries) await waitUntilReady(entry)

  return {
    deployment,
    operatorKey,
    platformAddress,
    entries,
    vms,
    relays,
    startEntry: async (index) => {
      const entry = await startEntryAt(index)
      entries[index] = entry
      await waitUntilReady(entry)
      return entry
    },
    controlPlatform: async (control) => { await callControl(platformAddress, '/control', control) },
    controlWorker: async (control) => { await callControl(controlAddress, '/control', control) },
    readRecords: () => callControl<WorkerRecords>(controlAddress, '/records'),
    stop: async () => {
      const uncleanExits = await Promise.all(entries.map(async ({ name, child }) => {
        child.sendSignal('SIGCONT')
        const wasRunning = !child.hasEnded()
        const exit = await child.stop('SIGTERM', STOP_TIMEOUT_MS)
        return wasRunning && exit.code !== 0 ? [name] : []
      }))
      await relays?.stop()
      await Promise.all([platform, workerHost].map((child) => child.stop('SIGTERM', STOP_TIMEOUT_MS)))
      rmSync(directory, { recursive: true, force: true })
      return uncleanExits.flat()
    }
  }
}

/** Polls a condition until it holds; `false` if it does not within the timeout. */
export async function waitFor (condition: () => boolean | Promise<boolean>, timeoutMs: number): Promise<boolean> {
  const deadline = performance.now() + timeoutMs
  while (performance.now() < deadline) {
    if (await condition()) return true
    await wait(POLL_INTERVAL_MS)
  }
  return false
}

/** Whether an entry's readiness probe succeeds, so that a load balancer would send it traffic. */
export async function isReady (entry: EntryProcess): Promise<boolean> {
  try {
    return (await fetch(`http://${entry.httpAddress}/readyz`, { signal: AbortSignal.timeout(1000) })).ok
  } catch {
    return false
  }
}

async function waitUntilReady (entry: EntryProcess): Promise<void> {
  if (await waitFor(() => isReady(entry), READY_TIMEOUT_MS)) return
  throw new Error(`${entry.name} did not become ready within ${READY_TIMEOUT_MS} ms:\n${entry.child.listRecentOutput().join('\n')}`)
}

async function applyManifest (entry: EntryProcess, operatorKey: string, deployment: Deployment): Promise<void> {
  const response = await fetch(`http://${entry.httpAddress}/v1/config`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${operatorKey}`, 'content-type': 'application/json' },
    body: JSON.stringify({ manifest: deployment.manifest, expectedVersion: 0 })
  })
  if (!response.ok) throw new Error(`manifest refused with status ${response.status}: ${await response.text()}`)
}

function startStandin (name: string, args: readonly string[], input?: string): Child {
  const script = join(import.meta.dirname, 'tools', `${name}.js`)
  return startChild({ name, args: [script, ...args], ...(input === undefined ? {} : { input }) })
}

function readReadyMessage<T> (child: Child): Promise<T> {
  return child.waitForLine((line) => line.startsWith('{') ? JSON.parse(line) as T : undefined)
}
