/** The demo: runs a deployment under load, faults and operator actions, and checks the invariants. */
import { setTimeout as wait } from 'node:timers/promises'
import { createSystemRandom } from '@fuchsiatally/core/testing/systemClock'
import { type Cluster, startCluster } from './cluster.js'
import type { Deployment } from './deployment.js'
import { createDemoResult, type DemoResult } from './demoReport.js'
import {
  applyManifest, runPlatformOutage, type DemoContext, drainWorker, killEntry, revokeKey, sendInvalidKeys, stopEntryGracefully,
  submitJobs, waitForJobs
} from './demoSteps.js'
import { startLoad } from './loadGenerator.js'
import { createRecorder } from './recorder.js'

export interface DemoOptions {
  readonly deployment: Deployment
  /** Request rate of the load, per second. */
  readonly requestsPerS: number
  readonly log: (text: string) => void
}

/** The running cluster and the result of the demo. */
export interface DemoOutcome {
  readonly cluster: Cluster
  readonly result: DemoResult
}

/** Time for which the load continues after the last fault, once the jobs have ended, so that the cluster can recover. */
const RECOVERY_MS = 2000

/** Runs all steps on one deployment; the cluster is left running. */
export async function runDemo (options: DemoOptions): Promise<DemoOutcome> {
  const cluster = await startCluster({ deployment: options.deployment })
  options.log(`${cluster.entries.length} entries and ${cluster.vms.length} workers started`)
  const recorder = createRecorder(cluster)
  const load = startLoad({ cluster, recorder, random: createSystemRandom(), requestsPerS: options.requestsPerS })
  const context: DemoContext = { cluster, recorder, load, log: options.log, refusedJobs: [], failures: [], jobCount: 0 }

  await submitJobs(context)
  await sendInvalidKeys(context)
  await Promise.all([revokeKey(context), drainWorker(context)])
  await applyManifest(context)
  await stopEntryGracefully(context, 0)
  await killEntry(context, 1)
  await submitJobs(context)
  await runPlatformOutage(context)
  await waitForJobs(context)
  await wait(RECOVERY_MS)
  await load.stop()
  recorder.stop()
  const { history, records } = await recorder.buildHistory()
  return { cluster, result: createDemoResult(options.deployment.cell, history, records, context.refusedJobs, context.failures) }
}
