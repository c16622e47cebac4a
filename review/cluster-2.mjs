/** Cluster under review: entries started with the command of the deploy file, a store, runners, and a record of what was sent, answered and run. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { call, wait } from './http-2.mjs'
import { startRunner } from './runner-2.mjs'
import { createStore } from './store-2.mjs'

const ROOT = join(import.meta.dirname, '..')
export const EXIT_HELD = 0
export const EXIT_BROKEN = 1
export const EXIT_NOT_RUN = 2
/** A cluster is up within some 3 s; a busy machine needs more. */
const UP_TIMEOUT_MS = 25_000
const PORT_RANGE_START = 7180

/** Figures of the small deployments' sheets. */
export const BOUNDS = { holdMaxMs: 6000, revokeMs: 5000, status_s: 120, leaseMs: 3000 }
export const CONTACT_MS = 3000
export const CANCEL_MS = 3000
export const VISIBLE_MS = 3000
export const STOP_MS = 400

function readRunCommand () {
  const [, command] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'))
  return command.split(' ')
}

/** Fills the plain placeholders of a template of the deploy file. */
function fillTemplate (text, fields) {
  return text.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((found, name) => found?.[name], fields)
    return json === undefined ? String(value ?? '') : JSON.stringify(value ?? null)
  })
}

/** Loopback network of a run, so that ports that the template fixes are free. */
function chooseNetwork () {
  return `127.${64 + process.pid % 128}.${1 + Math.floor(Math.random() * 250)}`
}

export function buildRoute ({ name, service, prefix = `/${name}/`, ...rest }) {
  return { name, host: 'jobs.example', prefix, service, kind: 'unsafe', timeoutMs: 3000, targetLatencyMs: 250, priority: 0, maxAttempts: 3, stretch: 2, public: false, ...rest }
}

export async function startCluster ({ folder, entries: entryCount, runners: runnerOptions, routes, tenants, zones = ['zone-a', 'zone-b', 'zone-c'] }) {
  const temporary = mkdtempSync(join(tmpdir(), 'review-2-'))
  const network = chooseNetwork()
  const startedAtMs = performance.now()
  const lines = []
  const readMs = () => Math.round(performance.now() - startedAtMs)
  const note = (kind, fields = {}) => {
    lines.push({ atMs: readMs(), kind, ...fields })
  }
  const store = createStore()
  const services = [...new Set(runnerOptions.map(({ service }) => service))].map((name) => ({ name }))
  store.writeRow('op', 'config', { version: 3, routes, services, tenants, limits: {} })
  const runners = []
  for (const options of runnerOptions) runners.push(await startRunner({ zone: zones[runners.length % zones.length], store, onEvent: note, ...options }))
  const entries = []

  const startEntry = async (index) => {
    const name = `entry-${index}`
    const ip = `${network}.${index + 1}`
    const path = await store.open(name)
    const fields = {
      node: name,
      zone: zones[index % zones.length],
      ip,
      listenAddresses: { front: `${ip}:8686`, ready: `${ip}:8689`, control: `${ip}:8688` },
      internalPorts: [PORT_RANGE_START, PORT_RANGE_START + 15],
      platform: { address: path.address },
      advice: '',
      limits: { cpuShare: 0.675, cores: 1 },
      bounds: BOUNDS
    }
    const file = join(temporary, `${name}.toml`)
    writeFileSync(file, fillTemplate(readFileSync(join(ROOT, 'deploy', 'settings.toml.tmpl'), 'utf8'), fields))
    const [program, ...args] = readRunCommand()
    const entry = { name, address: fields.listenAddresses.front, ready: fields.listenAddresses.ready, path, process: null, output: [], start: null }
    entry.start = () => {
      const child = spawn(program, args, { cwd: ROOT, stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: process.env.HOME, FUCHSIATALLY_SETTINGS: file } })
      for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk) => { entry.output.push(chunk.toString()) })
      child.on('exit', (code, signal) => note('process ended', { entry: name, code, signal }))
      entry.process = child
      note('process started', { entry: name })
    }
    entry.start()
    entries.push(entry)
  }
  for (let index = 0; index < entryCount; index++) await startEntry(index)

  const stop = async () => {
    for (const { process: child } of entries) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await Promise.all([store.stop(), ...runners.map((runner) => runner.stop())])
    if (folder !== undefined) writeFileSync(join(folder, 'record.txt'), `${lines.map((line) => JSON.stringify(line)).join('\n')}\n`)
    if (process.env.REVIEW_LOGS !== undefined) for (const entry of entries) writeFileSync(join(process.env.REVIEW_LOGS, `${entry.name}.log`), entry.output.join(''))
    rmSync(temporary, { recursive: true, force: true })
  }

  const readHolder = (service) => store.readRow('cell', service, 'holder')
  const isUp = async () => {
    for (const { ready } of entries) if ((await call(ready, 'GET', '/-/readiness', {}, undefined, 500))?.status !== 200) return false
    return services.every(({ name }) => readHolder(name) !== null)
  }
  while (!await isUp()) {
    if (readMs() > UP_TIMEOUT_MS) {
      await stop()
      throw new Error('the cluster did not come up')
    }
    await wait(100)
  }

  /** Sends a call of a client and records it with its answer. */
  const send = async (entry, method, path, { key, body, deadlineMs = 3000 } = {}) => {
    note('sent', { entry: entry.name, method, path })
    const response = await call(entry.address, method, path, { host: 'jobs.example', 'deadline-ms': String(deadlineMs), ...(key === undefined ? {} : { authorization: `Bearer ${key}` }) }, body, deadlineMs)
    note('answered', { entry: entry.name, method, path, status: response?.status ?? null, ...(method === 'GET' ? { body: response?.body ?? null } : {}) })
    return response
  }

  return {
    store,
    runners,
    entries,
    lines,
    note,
    readMs,
    send,
    stop,
    /** Entry that holds a service's jobs according to the store. */
    findHolder: (service) => entries.find(({ name }) => name === readHolder(service)?.entry),
    listStarts: (job) => lines.filter(({ kind, task }) => kind === 'start' && task.startsWith(`${job}.`))
  }
}

/** Runs a case: ends the process with its exit code, and the cluster with it. */
export async function runCase (options, run) {
  let cluster = null
  let code = EXIT_NOT_RUN
  try {
    cluster = await startCluster(options)
    code = await run(cluster)
  } catch (error) {
    console.error(String(error?.stack ?? error))
  }
  await cluster?.stop()
  process.exit(code)
}

/** Whether the disruption is left out. */
export function isCalm () {
  return process.env.TROUBLE === '0'
}

export function createId () {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('')
}
