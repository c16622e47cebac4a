/** Admission control for jobs and cancellations; both are durable in the table once accepted. */
import {
  createDecoder, JobRow, JobStateRow, type Clock, type EventLog, type JobSpec, type Random, type Row, type Team
} from '@fuchsiatally/core'
import type { PlatformClient, PlatformFailure } from '@fuchsiatally/table'
import { err, ok, type Result } from 'neverthrow'
import { jobAccepted, jobCancelled, jobRefused } from './events.js'
import { formatJobKeys } from './jobFeed.js'

/** Reason for refusing a job or a cancellation. */
export type JobRefusal =
  /** No VM of the cell is large enough for a task, or the team's ceiling is below the job's needs. */
  | { readonly kind: 'neverFits', readonly message: string }
  /** The team has reached its limit of active jobs. */
  | { readonly kind: 'tooManyJobs', readonly message: string }
  /** The id belongs to a job with another specification. */
  | { readonly kind: 'idTaken', readonly message: string }
  | { readonly kind: 'notFound', readonly message: string }
  /** The table did not respond, so the outcome is unknown; repeating the call with the same id is idempotent. */
  | { readonly kind: 'platform', readonly failure: PlatformFailure, readonly id: string }

/** Job as returned by the API. */
export interface JobView {
  readonly id: string
  readonly team: string
  readonly phase: JobStateRow['phase']
  readonly acceptedAtMs: number
  readonly cancelRequested: boolean
  readonly spec: JobSpec
  readonly tasks: JobStateRow['tasks']
}

/** Options of job admission. */
export interface JobAdmissionOptions {
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  /** Returns why the job can never run, or `null` if it can. */
  readonly explainInfeasible: (spec: JobSpec, team: Team) => string | null
  /** Notifies the scheduler that job rows changed. */
  readonly sendJobsChanged: () => void
}

/** Admission control for jobs. */
export interface JobAdmission {
  /** @param localId id chosen by the caller, unique within the team; makes resubmission idempotent */
  submitJob: (team: Team, localId: string | undefined, spec: JobSpec) => Promise<Result<JobView, JobRefusal>>
  cancelJob: (team: string, id: string) => Promise<Result<JobView, JobRefusal>>
  readJob: (team: string, id: string) => Promise<Result<JobView, JobRefusal>>
  listJobs: (team: string) => Promise<Result<JobView[], JobRefusal>>
}

const decodeJob = createDecoder(JobRow)
const decodeState = createDecoder(JobStateRow)
const ID_SEPARATOR = ':'

/** Formats a job id that is unique in the cell. */
export function formatJobId (team: string, localId: string): string {
  return team + ID_SEPARATOR + localId
}

function buildView (id: string, row: JobRow, state: JobStateRow | undefined, cancelRequested: boolean): JobView {
  return {
    id,
    team: row.team,
    phase: state?.phase ?? 'queued',
    acceptedAtMs: row.acceptedAtMs,
    cancelRequested,
    spec: row.spec,
    tasks: state?.tasks ?? []
  }
}

function collectViews (rows: readonly Row[]): JobView[] {
  const byKey = new Map(rows.filter((row) => row.value !== null).map((row) => [row.key, row]))
  const views: JobView[] = []
  for (const row of rows) {
    if (!row.key.startsWith('job/')) continue
    const job = decodeJob(row.value)
    if (job.isErr()) continue
    const id = row.key.slice('job/'.length)
    const keys = formatJobKeys(id)
    const state = decodeState(byKey.get(keys.state)?.value)
    views.push(buildView(id, job.value, state.isOk() ? state.value : undefined, byKey.has(keys.cancel)))
  }
  return views
}

function isActive (view: JobView): boolean {
  return view.phase === 'queued' || view.phase === 'running'
}

function isSameSpec (a: JobSpec, b: JobSpec): boolean {
  const formatCanonical = (spec: JobSpec): string => JSON.stringify(spec, Object.keys({ ...spec, ...spec.resources }).sort())
  return formatCanonical(a) === formatCanonical(b)
}

/** Creates the admission control of one entry. */
export function createJobAdmission (options: JobAdmissionOptions): JobAdmission {
  const { platform, events, random } = options

  const readViews = async (prefixes: readonly string[], keys: readonly string[], id: string): Promise<Result<JobView[], JobRefusal>> => {
    const read = await platform.read({ keys, prefixes: prefixes.map((prefix) => ({ prefix, sinceRevision: 0 })) })
    if (read.isErr()) return err({ kind: 'platform', failure: read.error, id })
    return ok(collectViews(read.value.rows))
  }

  const listJobs = (team: string): Promise<Result<JobView[], JobRefusal>> => {
    const idPrefix = team + ID_SEPARATOR
    return readViews([`job/${idPrefix}`, `jobState/${idPrefix}`, `cancel/${idPrefix}`], [], idPrefix)
  }

  const readJob = async (team: string, id: string): Promise<Result<JobView, JobRefusal>> => {
    const notFound: JobRefusal = { kind: 'notFound', message: `no job ${id} of team ${team}; 'status' lists the team's jobs` }
    if (!id.startsWith(team + ID_SEPARATOR)) return err(notFound)
    const keys = formatJobKeys(id)
    const views = await readViews([], [keys.job, keys.state, keys.cancel], id)
    if (views.isErr()) return err(views.error)
    const view = views.value[0]
    return view === undefined ? err(notFound) : ok(view)
  }

  const writeIfAbsent = async (key: string, value: unknown, id: string): Promise<Result<'written' | 'exists', JobRefusal>> => {
    const outcome = await platform.transact({ writeId: random.nextId(), checks: [{ key, version: 0 }], writes: [{ key, value }] })
    if (outcome.isErr()) return err({ kind: 'platform', failure: outcome.error, id })
    return ok(outcome.value.kind === 'applied' ? 'written' : 'exists')
  }

  const refuse = (team: string, name: string, refusal: JobRefusal): Result<JobView, JobRefusal> => {
    events.record(jobRefused, { team, name, reason: refusal.kind })
    return err(refusal)
  }

  const submitJob = async (team: Team, localId: string | undefined, spec: JobSpec): Promise<Result<JobView, JobRefusal>> => {
    const reason = options.explainInfeasible(spec, team)
    if (reason !== null) return refuse(team.name, spec.name, { kind: 'neverFits', message: reason })
    const id = formatJobId(team.name, localId ?? random.nextId())
    const existing = await listJobs(team.name)
    if (existing.isErr()) return refuse(team.name, spec.name, existing.error)
    const existingJob = existing.value.find((view) => view.id === id)
    if (existingJob !== undefined) return acceptResubmission(existingJob, spec)
    const active = existing.value.filter(isActive).length
    if (active >= team.limits.activeJobs) {
      const message = `team ${team.name} has ${active} active jobs and may have ${team.limits.activeJobs}; wait until one ends or cancel one`
      return refuse(team.name, spec.name, { kind: 'tooManyJobs', message })
    }
    return await storeJob(team.name, id, spec)
  }

  const acceptResubmission = (view: JobView, spec: JobSpec): Result<JobView, JobRefusal> => {
    if (isSameSpec(view.spec, spec)) return ok(view)
    return refuse(view.team, spec.name, { kind: 'idTaken', message: `job ${view.id} exists with another specification; choose another id` })
  }

  const storeJob = async (team: string, id: string, spec: JobSpec): Promise<Result<JobView, JobRefusal>> => {
    const row: JobRow = { team, spec, acceptedAtMs: options.clock.wallMs() }
    const written = await writeIfAbsent(formatJobKeys(id).job, row, id)
    if (written.isErr()) return refuse(team, spec.name, written.error)
    if (written.value === 'exists') {
      const existing = await readJob(team, id)
      return existing.isErr() ? err(existing.error) : acceptResubmission(existing.value, spec)
    }
    events.record(jobAccepted, { job: id, team, kind: spec.kind, tasks: spec.taskCount, priority: spec.priority })
    options.sendJobsChanged()
    return ok(buildView(id, row, undefined, false))
  }

  const cancelJob = async (team: string, id: string): Promise<Result<JobView, JobRefusal>> => {
    const view = await readJob(team, id)
    if (view.isErr() || view.value.cancelRequested || !isActive(view.value)) return view
    const written = await writeIfAbsent(formatJobKeys(id).cancel, { team, atMs: options.clock.wallMs() }, id)
    if (written.isErr()) return err(written.error)
    events.record(jobCancelled, { job: id, team })
    options.sendJobsChanged()
    return ok({ ...view.value, cancelRequested: true })
  }

  return { submitJob, cancelJob, readJob, listJobs }
}
