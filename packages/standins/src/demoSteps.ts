/** What the demo does to one deployment while its load runs. */
import { setTimeout as wait } from 'node:timers/promises'
import type { JobSpec } from '@fuchsiatally/core'
import { type ApiClient, createApiClient, type JobAnswer } from './apiClient.js'
import { type Cluster, waitFor } from './cluster.js'
import type { Load } from './load.js'
import type { Recorder } from './recorder.js'

/** One deployment under the demo. */
export interface DemoRun {
  readonly cluster: Cluster
  readonly recorder: Recorder
  readonly load: Load
  /** Prints progress. */
  readonly say: (text: string) => void
  /** Jobs refused at submission, with why. */
  readonly refusedJobs: string[]
  /** What did not go as it should, beside what the monitor finds. */
  readonly failures: string[]
  jobCount: number
}

const JOBS_END_WITHIN_MS = 40_000
const OUTAGE_MS = 6000
const REVOKED_TRIES = 16
const REVOKED_PAUSE_MS = 500
const STOP_WITHIN_MS = 20_000

/** Client of the operators at an entry that takes callers. */
function createOperator (run: DemoRun): ApiClient {
  return createApiClient(findEntry(run).httpAddress, run.cluster.operatorKey)
}

function findEntry (run: DemoRun): Cluster['entries'][number] {
  return run.recorder.listReady()[0] ?? run.cluster.entries[0]!
}

function createSpec (run: DemoRun, change: Partial<JobSpec>, runMs: number): JobSpec {
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
    ...change
  }
}

/** Submits a job for a team, again with the same id while the platform gives no answer. */
async function submitJob (run: DemoRun, team: string, spec: JobSpec): Promise<void> {
  const key = run.cluster.deployment.keys.get(team)!.key
  run.jobCount += 1
  const id = `job-${run.jobCount}`
  let answer: { status: number, value: JobAnswer } | undefined
  await waitFor(async () => {
    answer = await createApiClient(findEntry(run).httpAddress, key).submitJob(id, spec).catch(() => undefined)
    return answer !== undefined && answer.status !== 503
  }, JOBS_END_WITHIN_MS)
  if (answer?.status === 202) {
    run.recorder.addJob({ job: answer.value.id, team, kind: spec.kind, taskCount: spec.taskCount }, key)
  } else {
    run.refusedJobs.push(`${answer?.status ?? 'no answer'} ${answer?.value.code ?? ''}: ${answer?.value.detail ?? ''}`)
  }
}

/** Batch jobs and gangs of every team, with and without accelerators, and two that are refused. */
export async function submitJobs (run: DemoRun): Promise<void> {
  for (const team of run.cluster.deployment.keys.keys()) {
    await submitJob(run, team, createSpec(run, { taskCount: 12 }, 4000))
    await submitJob(run, team, createSpec(run, { taskCount: 6, resources: { processors: 4, memoryMb: 8192, accelerators: 2 } }, 6000))
    await submitJob(run, team, createSpec(run, { kind: 'gang', taskCount: 8 }, 5000))
    await submitJob(run, team, createSpec(run, { kind: 'gang', taskCount: 3, priority: 'urgent', resources: { processors: 8, memoryMb: 16384, accelerators: 4 } }, 3000))
  }
  const [team = ''] = run.cluster.deployment.keys.keys()
  await submitJob(run, team, createSpec(run, { resources: { processors: 512, memoryMb: 2048, accelerators: 0 } }, 1000))
  await submitJob(run, team, createSpec(run, { kind: 'gang', taskCount: 200 }, 1000))
  run.say(`${run.recorder.jobs.size} jobs accepted, ${run.refusedJobs.length} refused`)
}

/** Grants a key, uses it, revokes it and goes on using it at all entries. */
export async function revokeKey (run: DemoRun): Promise<void> {
  const [team = ''] = run.cluster.deployment.keys.keys()
  const granted = await createOperator(run).grantKey(team, `${team}-temporary`)
  if (granted.status !== 201) {
    run.failures.push(`grant answered ${granted.status}`)
    return
  }
  run.recorder.addAcceptedConfig(granted.value.version)
  const change = { team, key: granted.value.key, keyId: `${team}-temporary` }
  await wait(2000)
  for (let i = 0; i < 4; i++) await run.load.sendOne(change)
  const revoked = await createOperator(run).revokeKey(change.keyId)
  run.recorder.addMark('revocations', change.keyId)
  if (revoked.status !== 200) {
    run.failures.push(`revocation answered ${revoked.status}`)
    return
  }
  run.recorder.addAcceptedConfig(revoked.value.version ?? 0)
  run.say(`key of ${team} granted, used and revoked`)
  for (let i = 0; i < REVOKED_TRIES; i++) {
    await run.load.sendOne(change)
    await wait(REVOKED_PAUSE_MS)
  }
}

/** Sends wrong and missing keys; each has to be refused. */
export async function sendWrongKeys (run: DemoRun): Promise<void> {
  const [team = ''] = run.cluster.deployment.keys.keys()
  for (const key of ['', 'nonsense', `ft_${team}-1_${'0'.repeat(64)}`]) {
    const before = run.recorder.requests.length
    await run.load.sendOne({ team, key, keyId: 'wrong' })
    const record = run.recorder.requests.slice(before).find((request) => request.keyId === 'wrong')
    if (record?.outcome !== 'rejected') run.failures.push(`a wrong key was not refused: ${record?.outcome ?? 'no answer'}`)
  }
}

/** Applies a changed manifest; the monitor checks when it is in force everywhere. */
export async function applyManifest (run: DemoRun): Promise<void> {
  const operator = createOperator(run)
  const { manifest } = run.cluster.deployment
  const current = await operator.readConfig()
  const teams = manifest.teams.map((team) => ({ ...team, limits: { ...team.limits, queuedRequests: team.limits.queuedRequests + 1 } }))
  const applied = await operator.applyManifest({ ...manifest, teams }, current.value.version)
  if (applied.status !== 200) {
    run.failures.push(`apply answered ${applied.status}`)
    return
  }
  run.recorder.addAcceptedConfig(applied.value.version)
  const raced = await operator.applyManifest(manifest, current.value.version)
  if (raced.status !== 409) run.failures.push(`a racing apply answered ${raced.status}`)
  run.say(`manifest ${applied.value.version} applied, a racing one refused`)
}

/** Takes a worker out of use. */
export async function drainWorker (run: DemoRun): Promise<void> {
  const vm = run.cluster.deployment.workers[0]!.id
  const drained = await createOperator(run).drainVm(vm)
  if (drained.status !== 200) {
    run.failures.push(`drain answered ${drained.status}`)
    return
  }
  run.recorder.addMark('leavings', vm)
  run.recorder.addAcceptedConfig(drained.value.version)
  run.say(`${vm} drained`)
}

/** Stops an entry as planned while requests with slow bodies are in flight, then replaces it. */
export async function stopEntryPlanned (run: DemoRun, index: number): Promise<void> {
  const entry = run.cluster.entries[index]!
  const slow = Array.from({ length: 4 }, () => run.load.sendOne({ entry: entry.name, address: entry.httpAddress, slowBodyMs: 1500 }))
  await wait(200)
  run.recorder.addMark('plannedStops', entry.name)
  const end = await entry.child.stop('SIGTERM', STOP_WITHIN_MS)
  await Promise.all(slow)
  if (end.code !== 0) run.failures.push(`${entry.name} ended with ${end.code ?? end.signal} after SIGTERM`)
  run.say(`${entry.name} stopped as planned with code ${end.code ?? end.signal}`)
  await run.cluster.startEntry(index)
}

/** Kills an entry and replaces it after a while. */
export async function killEntry (run: DemoRun, index: number): Promise<void> {
  const entry = run.cluster.entries[index]!
  await entry.child.stop('SIGKILL', 1000)
  run.say(`${entry.name} killed`)
  await wait(3000)
  await run.cluster.startEntry(index)
}

/** Takes the platform away, lets answers get lost, and brings it back. */
export async function cutPlatform (run: DemoRun): Promise<void> {
  await run.cluster.controlPlatform({ faults: { outage: true } })
  run.say('platform out')
  await wait(OUTAGE_MS)
  await run.cluster.controlPlatform({ faults: { outage: false, lostAnswerRate: 0.2 } })
  run.say('platform back, a fifth of its answers lost')
  await wait(3000)
  await run.cluster.controlPlatform({ faults: { lostAnswerRate: 0 } })
}

/** Waits until every accepted job has ended. */
export async function waitForJobs (run: DemoRun): Promise<void> {
  if (await waitFor(run.recorder.updateJobs, JOBS_END_WITHIN_MS)) return
  const open = [...run.recorder.jobs.values()].filter((job) => job.phase === 'queued' || job.phase === 'running')
  run.failures.push(`jobs that did not end: ${open.map((job) => `${job.job} ${job.phase}`).join(', ')}`)
}
