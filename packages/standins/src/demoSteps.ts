/** Steps of the demo: operator actions and faults on one deployment under load. */
import { setTimeout as wait } from 'node:timers/promises'
import type { JobSpec } from '@fuchsiatally/core'
import { type ApiClient, createApiClient, type JobResponse } from './apiClient.js'
import { type Cluster, waitFor } from './cluster.js'
import type { Load } from './loadGenerator.js'
import type { Recorder } from './recorder.js'

/** State of the demo on one deployment. */
export interface DemoContext {
  readonly cluster: Cluster
  readonly recorder: Recorder
  readonly load: Load
  /** Prints progress. */
  readonly log: (text: string) => void
  /** Reasons of the jobs that were refused at submission. */
  readonly refusedJobs: string[]
  /** Unexpected results other than violated invariants. */
  readonly failures: string[]
  jobCount: number
}

const JOBS_TIMEOUT_MS = 40_000
const OUTAGE_MS = 6000
const REVOKED_REQUEST_COUNT = 16
const REVOKED_REQUEST_INTERVAL_MS = 500
const STOP_TIMEOUT_MS = 20_000

/** Creates a client with the operator key for a ready entry. */
function createOperatorClient (context: DemoContext): ApiClient {
  return createApiClient(findReadyEntry(context).httpAddress, context.cluster.operatorKey)
}

function findReadyEntry (context: DemoContext): Cluster['entries'][number] {
  return context.recorder.listReadyEntries()[0] ?? context.cluster.entries[0]!
}

function createJobSpec (context: DemoContext, overrides: Partial<JobSpec>, runMs: number): JobSpec {
  return {
    name: 'demo',
    kind: 'batch',
    priority: 'normal',
    taskCount: 6,
    resources: { processors: 2, memoryMb: 2048, accelerators: 0 },
    runTimeMs: runMs,
    maxRetries: 3,
    checkpointable: true,
    payload: JSON.stringify({ runMs }),
    ...overrides
  }
}

/** Submits a job for a team; while the entry does not respond or responds with 503, retries with the same id, which is idempotent. */
async function submitJob (context: DemoContext, team: string, spec: JobSpec): Promise<void> {
  const key = context.cluster.deployment.keys.get(team)!.key
  context.jobCount += 1
  const id = `job-${context.jobCount}`
  let response: { status: number, value: JobResponse } | undefined
  await waitFor(async () => {
    response = await createApiClient(findReadyEntry(context).httpAddress, key).submitJob(id, spec).catch(() => undefined)
    return response !== undefined && response.status !== 503
  }, JOBS_TIMEOUT_MS)
  if (response?.status === 202) {
    context.recorder.addJob({ job: response.value.id, team, kind: spec.kind, taskCount: spec.taskCount }, key)
  } else {
    context.refusedJobs.push(`${response?.status ?? 'no response'} ${response?.value.code ?? ''}: ${response?.value.detail ?? ''}`)
  }
}

/** Submits batch jobs and gangs of every team, with and without accelerators, and two infeasible jobs, which the entry is expected to refuse. */
export async function submitJobs (context: DemoContext): Promise<void> {
  for (const team of context.cluster.deployment.keys.keys()) {
    await submitJob(context, team, createJobSpec(context, { taskCount: 12 }, 4000))
    await submitJob(context, team, createJobSpec(context, { taskCount: 6, resources: { processors: 4, memoryMb: 8192, accelerators: 2 } }, 6000))
    await submitJob(context, team, createJobSpec(context, { kind: 'gang', taskCount: 8 }, 5000))
    await submitJob(context, team, createJobSpec(context, { kind: 'gang', taskCount: 3, priority: 'urgent', resources: { processors: 8, memoryMb: 16384, accelerators: 4 } }, 3000))
  }
  const [team = ''] = context.cluster.deployment.keys.keys()
  await submitJob(context, team, createJobSpec(context, { resources: { processors: 512, memoryMb: 2048, accelerators: 0 } }, 1000))
  await submitJob(context, team, createJobSpec(context, { kind: 'gang', taskCount: 200 }, 1000))
  context.log(`${context.recorder.jobs.size} jobs accepted, ${context.refusedJobs.length} refused`)
}

/** Grants a key, uses it, revokes it, and keeps sending requests with it to random entries. */
export async function revokeKey (context: DemoContext): Promise<void> {
  const [team = ''] = context.cluster.deployment.keys.keys()
  const granted = await createOperatorClient(context).grantKey(team, `${team}-temporary`)
  if (granted.status !== 201) {
    context.failures.push(`granting a key returned status ${granted.status}`)
    return
  }
  context.recorder.addAcceptedConfig(granted.value.version)
  const overrides = { team, key: granted.value.key, keyId: `${team}-temporary` }
  await wait(2000)
  for (let i = 0; i < 4; i++) await context.load.sendOne(overrides)
  const revoked = await createOperatorClient(context).revokeKey(overrides.keyId)
  context.recorder.addEvent('revocations', overrides.keyId)
  if (revoked.status !== 200) {
    context.failures.push(`revoking a key returned status ${revoked.status}`)
    return
  }
  context.recorder.addAcceptedConfig(revoked.value.version ?? 0)
  context.log(`key of ${team} granted, used and revoked`)
  for (let i = 0; i < REVOKED_REQUEST_COUNT; i++) {
    await context.load.sendOne(overrides)
    await wait(REVOKED_REQUEST_INTERVAL_MS)
  }
}

/** Sends empty, malformed and forged keys; each must be rejected. */
export async function sendInvalidKeys (context: DemoContext): Promise<void> {
  const [team = ''] = context.cluster.deployment.keys.keys()
  for (const key of ['', 'nonsense', `ft_${team}-1_${'0'.repeat(64)}`]) {
    const before = context.recorder.requests.length
    await context.load.sendOne({ team, key, keyId: 'wrong' })
    const record = context.recorder.requests.slice(before).find((request) => request.keyId === 'wrong')
    if (record?.outcome !== 'rejected') context.failures.push(`an invalid key was not rejected: ${record?.outcome ?? 'no request sent'}`)
  }
}

/** Applies a modified manifest, then one with a stale expected version; the monitor checks that the first takes effect at every entry. */
export async function applyManifest (context: DemoContext): Promise<void> {
  const operator = createOperatorClient(context)
  const { manifest } = context.cluster.deployment
  const current = await operator.readConfig()
  const teams = manifest.teams.map((team) => ({ ...team, limits: { ...team.limits, queuedRequests: team.limits.queuedRequests + 1 } }))
  const applied = await operator.applyManifest({ ...manifest, teams }, current.value.version)
  if (applied.status !== 200) {
    context.failures.push(`applying the manifest returned status ${applied.status}`)
    return
  }
  context.recorder.addAcceptedConfig(applied.value.version)
  const conflicting = await operator.applyManifest(manifest, current.value.version)
  if (conflicting.status !== 409) context.failures.push(`a conflicting apply returned status ${conflicting.status}`)
  context.log(`manifest version ${applied.value.version} applied, conflicting apply refused`)
}

export async function drainWorker (context: DemoContext): Promise<void> {
  const vm = context.cluster.deployment.workers[0]!.id
  const drained = await createOperatorClient(context).drainVm(vm)
  if (drained.status !== 200) {
    context.failures.push(`draining a worker returned status ${drained.status}`)
    return
  }
  context.recorder.addEvent('drains', vm)
  context.recorder.addAcceptedConfig(drained.value.version)
  context.log(`${vm} drained`)
}

/** Shuts an entry down gracefully while requests with slow bodies are in flight, then replaces it. */
export async function stopEntryGracefully (context: DemoContext, index: number): Promise<void> {
  const entry = context.cluster.entries[index]!
  const slow = Array.from({ length: 4 }, () => context.load.sendOne({ entry: entry.name, address: entry.httpAddress, slowBodyMs: 1500 }))
  await wait(200)
  context.recorder.addEvent('gracefulShutdowns', entry.name)
  const exit = await entry.child.stop('SIGTERM', STOP_TIMEOUT_MS)
  await Promise.all(slow)
  if (exit.code !== 0) context.failures.push(`${entry.name} exited with ${exit.code ?? exit.signal} after SIGTERM`)
  context.log(`${entry.name} shut down gracefully with code ${exit.code ?? exit.signal}`)
  await context.cluster.startEntry(index)
}

/** Kills an entry and replaces it 3 s later. */
export async function killEntry (context: DemoContext, index: number): Promise<void> {
  const entry = context.cluster.entries[index]!
  await entry.child.stop('SIGKILL', 1000)
  context.log(`${entry.name} killed`)
  await wait(3000)
  await context.cluster.startEntry(index)
}

/** Simulates a platform outage, followed by a period of lost responses. */
export async function runPlatformOutage (context: DemoContext): Promise<void> {
  await context.cluster.controlPlatform({ faults: { outage: true } })
  context.log('platform outage started')
  await wait(OUTAGE_MS)
  await context.cluster.controlPlatform({ faults: { outage: false, lostAnswerRate: 0.2 } })
  context.log('platform restored, losing 20 % of its responses')
  await wait(3000)
  await context.cluster.controlPlatform({ faults: { lostAnswerRate: 0 } })
}

/** Waits until every accepted job has finished. */
export async function waitForJobs (context: DemoContext): Promise<void> {
  if (await waitFor(context.recorder.updateJobs, JOBS_TIMEOUT_MS)) return
  const unfinished = [...context.recorder.jobs.values()].filter((job) => job.phase === 'queued' || job.phase === 'running')
  context.failures.push(`unfinished jobs: ${unfinished.map((job) => `${job.job} ${job.phase}`).join(', ')}`)
}
