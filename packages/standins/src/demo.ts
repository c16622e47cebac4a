/** The demo: both deployments under load, faults and operations, judged by the monitor. */
import { setTimeout as wait } from 'node:timers/promises'
import { createSystemRandom } from '@fuchsiatally/core/testing/systemClock'
import { type Cluster, startCluster } from './cluster.js'
import type { Deployment } from './deployment.js'
import { createDemoResult, type DemoResult } from './demoReport.js'
import {
  applyManifest, cutPlatform, type DemoRun, drainWorker, killEntry, revokeKey, sendWrongKeys, stopEntryPlanned,
  submitJobs, waitForJobs
} from './demoSteps.js'
import { startLoad } from './load.js'
import { createRecorder } from './recorder.js'

export interface DemoOptions {
  readonly deployment: Deployment
  /** Requests a second. */
  readonly perS: number
  readonly say: (text: string) => void
}

/** What is left after the demo. */
export interface DemoEnd {
  readonly cluster: Cluster
  readonly result: DemoResult
}

/** Time after the last fault in which everything must have settled. */
const CALM_MS = 2000

/** Runs all steps on one deployment; the cluster stays up. */
export async function runDemo (options: DemoOptions): Promise<DemoEnd> {
  const cluster = await startCluster({ deployment: options.deployment })
  options.say(`${cluster.entries.length} entries and ${cluster.vms.length} workers are up`)
  const recorder = createRecorder(cluster)
  const load = startLoad({ cluster, recorder, random: createSystemRandom(), perS: options.perS })
  const run: DemoRun = { cluster, recorder, load, say: options.say, refusedJobs: [], failures: [], jobCount: 0 }

  await submitJobs(run)
  await sendWrongKeys(run)
  await Promise.all([revokeKey(run), drainWorker(run)])
  await applyManifest(run)
  await stopEntryPlanned(run, 0)
  await killEntry(run, 1)
  await submitJobs(run)
  await cutPlatform(run)
  await waitForJobs(run)
  await wait(CALM_MS)
  await load.stop()
  recorder.stop()
  const { history, records } = await recorder.buildHistory()
  return { cluster, result: createDemoResult(options.deployment.cell, history, records, run.refusedJobs, run.failures) }
}
