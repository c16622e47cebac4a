/** Simulated worker VMs: one process hosts many, each with its own ports for lease and task commands and for its runners. */
import { createHash } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { type Clock, createDecoder, LEASE_CONTENTS, LeaseCommand, type Random, type Resources, StartCommand, StopCommand, type Vm } from '@fuchsiatally/core'
import { createSystemRandom } from '@fuchsiatally/core/testing/systemClock'
import type { WorkerFaults } from '@fuchsiatally/entry/testing/workerFaults'
import { createWorkerModel, type WorkerModel } from '@fuchsiatally/entry/testing/workerModel'
import { type Listener, sendJson, startListener } from './httpStandin.js'
import { createProcessClock } from './processClock.js'
import type { TaskRunRecord, WorkerRecords } from './records.js'
import { type Runner, type RunnerMode, startRunner } from './runner.js'

/** Description of a simulated worker VM. */
export interface WorkerSpec {
  readonly id: string
  readonly failureDomain: string
  readonly rack: string
  readonly pool: string
  readonly resources: Resources
  readonly services: readonly string[]
}

/** Body of `POST /control`. */
export interface WorkerControl {
  readonly worker: string
  readonly faults?: Partial<WorkerFaults>
  readonly runnerMode?: RunnerMode
  readonly runnerExtraWorkMs?: number
  /** The worker ignores commands without closing connections. */
  readonly silent?: boolean
  readonly restart?: boolean
}

export interface WorkerHost {
  /** `host:port` that serves `POST /control` and `GET /records`. */
  readonly controlAddress: string
  readonly vms: readonly Vm[]
  readonly stop: () => Promise<void>
}

interface HostedWorker {
  readonly model: WorkerModel
  readonly listener: Listener
  readonly runners: readonly Runner[]
  silent: boolean
  readonly vm: Vm
}

const HTTP_CONFLICT = 409
const decodeLease = createDecoder(LeaseCommand)
const decodeStart = createDecoder(StartCommand)
const decodeStop = createDecoder(StopCommand)

/** Starts all workers on free loopback ports. */
export async function startWorkerHost (specs: readonly WorkerSpec[]): Promise<WorkerHost> {
  const clock = createProcessClock()
  const random = createSystemRandom()
  const workers = new Map<string, HostedWorker>()
  for (const spec of specs) workers.set(spec.id, await startWorker(spec, clock, random))
  const listener = await startListener((request, body, response) => {
    if (request.url === '/records') return sendJson(response, 200, collectRecords(workers.values()))
    if (request.url !== '/control') return sendJson(response, 404, { message: 'no such path' })
    const control = JSON.parse(body.toString()) as WorkerControl
    const worker = workers.get(control.worker)
    if (worker === undefined) return sendJson(response, 404, { message: `no worker ${control.worker}` })
    applyControl(worker, control)
    sendJson(response, 200, {})
  })
  return {
    controlAddress: listener.address,
    vms: [...workers.values()].map((worker) => worker.vm),
    stop: async () => {
      await listener.stop()
      for (const worker of workers.values()) await stopWorker(worker)
    }
  }
}

async function startWorker (spec: WorkerSpec, clock: Clock, random: Random): Promise<HostedWorker> {
  const model = createWorkerModel({ id: spec.id, clock, random, resources: spec.resources, services: spec.services, usageLagMs: 1000 })
  const runners: Runner[] = []
  for (const service of spec.services) {
    runners.push(await startRunner({ worker: spec.id, service, onBusyChange: (busy) => model.setBusy(service, busy) }))
  }
  const state = { silent: false }
  const listener = await startListener((request, body, response) => {
    if (!state.silent) handleCommand(model, request, body, response)
  })
  const vm: Vm = {
    id: spec.id,
    state: 'live',
    failureDomain: spec.failureDomain,
    rack: spec.rack,
    pool: spec.pool,
    address: listener.address,
    resources: spec.resources,
    runners: runners.map((runner, index) => ({ service: spec.services[index]!, address: runner.address }))
  }
  return Object.assign(state, { model, listener, runners, vm })
}

async function stopWorker (worker: HostedWorker): Promise<void> {
  await worker.listener.stop()
  for (const runner of worker.runners) await runner.stop()
}

function handleCommand (model: WorkerModel, request: IncomingMessage, body: Buffer, response: ServerResponse): void {
  const command: unknown = JSON.parse(body.toString())
  if (request.url === '/lease') return handleLeaseCommand(model, command, response)
  if (request.url === '/start') {
    return decodeStart(command).match(
      (start) => sendJson(response, 200, model.startTask(start)), (error) => sendJson(response, 400, error)
    )
  }
  if (request.url === '/stop') {
    return decodeStop(command).match(
      (stop) => sendJson(response, 200, model.stopTask(stop)), (error) => sendJson(response, 400, error)
    )
  }
  sendJson(response, 404, { message: 'no such path' })
}

function handleLeaseCommand (model: WorkerModel, command: unknown, response: ServerResponse): void {
  const lease = decodeLease(command)
  if (lease.isErr()) return sendJson(response, 400, lease.error)
  const renewal = model.renewLease(lease.value)
  if (renewal.refused) return sendJson(response, HTTP_CONFLICT, { epoch: renewal.epoch })
  const { report } = renewal
  const contents = JSON.stringify(LEASE_CONTENTS.map((name) => report[name]))
  const revision = createHash('sha256').update(contents).digest('base64url')
  if (lease.value.knownRevision !== revision) return sendJson(response, 200, { ...report, revision })
  const { workerIncarnation, epoch, clockMs, leaseNotAfterMs } = report
  sendJson(response, 200, { unchanged: true, workerIncarnation, epoch, clockMs, leaseNotAfterMs })
}

function applyControl (worker: HostedWorker, control: WorkerControl): void {
  Object.assign(worker.model.faults, control.faults)
  if (control.silent !== undefined) worker.silent = control.silent
  if (control.restart === true) worker.model.restart()
  if (control.runnerMode === undefined && control.runnerExtraWorkMs === undefined) return
  for (const runner of worker.runners) runner.setMode(control.runnerMode ?? 'normal', control.runnerExtraWorkMs ?? 0)
}

function collectRecords (workers: Iterable<HostedWorker>): WorkerRecords {
  const runs: TaskRunRecord[] = []
  const executions: WorkerRecords['executions'][number][] = []
  let refusals = 0
  for (const worker of workers) {
    for (const run of worker.model.listRuns()) {
      const { endedAtMs, result, ...rest } = run
      runs.push({ ...rest, ...(endedAtMs === undefined ? {} : { endedAtMs }), ...(result === undefined ? {} : { result }) })
    }
    for (const runner of worker.runners) {
      executions.push(...runner.executions)
      refusals += runner.countRefusals()
    }
  }
  return { runs, executions, refusals }
}
