/** Cluster of real entry processes, started with the command and the settings template of the deploy file, and the stand-ins around them. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { callServer, findFreePort, startServer, waitUntil } from './http.mjs'
import { startRunner } from './runner.mjs'
import { startStore } from './store.mjs'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..')
const HOST_NAME = 'ficu95.example'
const KEY = '3hh2b9wu3fexd9dnn2ct'
const DEADLINE_MS = 3000
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d']

/** A loopback address that other cases are unlikely to use. */
const chooseHost = (index) => `127.${10 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}.${index + 1}`

/** Fills in the settings template of the deploy file. */
function renderSettings (fields) {
  const template = readFileSync(join(ROOT, 'deploy', 'settings.toml.tmpl'), 'utf8')
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((of, name) => of?.[name], fields)
    return json === undefined ? String(value ?? '') : JSON.stringify(value)
  })
}

function readCommand () {
  const [, run] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'))
  return run.split(' ')
}

const BOUNDS = { holdMaxMs: 6000, revokeMs: 5000, status_s: 120, leaseMs: 3000 }

/** Starts a cluster; `routes` are those of the first configuration, each with at least `name`, `prefix` and `service`. */
export async function startCluster ({ caseUrl, entries: entryCount = 3, routes, services }) {
  const caseFolder = dirname(fileURLToPath(caseUrl))
  const folder = mkdtempSync(join(tmpdir(), 'fuchsiatally-review-'))
  const startedAt = performance.now()
  const lines = []
  const record = (line) => { lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`) }
  const host = chooseHost(0)
  const store = await startStore(host, record)
  const advice = await startServer(host, () => ({ status: 429 }))
  const history = []
  const runners = []
  const entries = []
  let version = 0

  const writeConfig = (nextRoutes, extra = {}) => {
    version += 3
    store.writeRow('op', 'config', {
      version,
      routes: nextRoutes.map((route) => ({
        host: HOST_NAME, kind: 'unsafe', timeoutMs: DEADLINE_MS, targetLatencyMs: 1000, priority: 1, maxAttempts: 3, stretch: 3, public: false, ...route
      })),
      services: services.map((name) => ({ name, healthPath: '/health', connectionLimit: 64, protocol: 'h1', tls: false, admissionCheck: false, spare: false })),
      limits: { headerBytes: 16384, bodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
      tenants: [{ name: 'hule930', apiKeys: [KEY], priority: 1, weight: 10, cap: { cpu: 0, memMb: 0, gpu: 0 } }],
      ...extra
    })
    record(`the operator's configuration ${version} is acknowledged`)
    return version
  }

  const startProcess = (entry) => {
    const [command, ...args] = readCommand()
    const child = spawn(command, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: folder, LANG: 'C', FUCHSIATALLY_SETTINGS: entry.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    let rest = ''
    child.stdout.on('data', (chunk) => {
      const parts = (rest + chunk).split('\n')
      rest = parts.pop()
      for (const part of parts) if (entry.log.length < 200_000) entry.log.push(part)
    })
    child.stderr.on('data', (chunk) => record(`${entry.name} writes to standard error: ${String(chunk).trim()}`))
    entry.child = child
    entry.exited = new Promise((resolve) => child.on('exit', (code, signal) => {
      record(`${entry.name} (process ${child.pid}) ended: ${signal ?? code}`)
      resolve({ code, signal })
    }))
    record(`${entry.name} started as process ${child.pid}`)
  }

  const startEntry = async (index) => {
    const ip = chooseHost(10 + index)
    const name = `frontend-${index + 1}`
    const ports = [await findFreePort(ip), await findFreePort(ip), await findFreePort(ip)]
    const fields = {
      node: name,
      zone: ZONES[index % ZONES.length],
      ip,
      listenAddresses: { front: `${ip}:${ports[0]}`, ready: `${ip}:${ports[1]}` },
      internalPorts: [ports[2], ports[2]],
      platform: { address: store.address },
      advice: advice.address,
      limits: { cpuShare: 0.675, cores: 1 },
      bounds: BOUNDS
    }
    const entry = { name, address: fields.listenAddresses.front, ready: fields.listenAddresses.ready, file: join(folder, `${name}.conf`), log: [], child: null, exited: null }
    writeFileSync(entry.file, renderSettings(fields))
    entries.push(entry)
    startProcess(entry)
    return entry
  }

  const headers = () => ({ host: HOST_NAME, authorization: `Bearer ${KEY}`, 'deadline-ms': String(DEADLINE_MS) })
  const callEntry = async (entry, method, path, body) => {
    const response = await callServer(entry.address, method, path, headers(), body, DEADLINE_MS)
    record(`${method} ${path} at ${entry.name}: ${response === null ? 'no response' : `${response.status} ${JSON.stringify(response.body)}`}`)
    return response
  }

  /** Sends a job until it is accepted, as a client does; returns the entry's last status. */
  const submit = async (path, job, attempts = 5) => {
    for (let attempt = 0; attempt < attempts; attempt++) {
      const response = await callEntry(entries[attempt % entries.length], 'POST', path, job)
      if (response !== null && response.status < 300) return response.status
      await new Promise((resolve) => { setTimeout(resolve, 300) })
    }
    return null
  }

  const findHolder = (service) => {
    const row = store.readRow('cell', service, 'holder')
    return row === null || row.released ? null : entries.find(({ name }) => name === row.entry) ?? null
  }

  const dispose = async () => {
    for (const entry of entries) {
      if (entry.child.exitCode !== null || entry.child.signalCode !== null) continue
      entry.child.kill('SIGCONT')
      entry.child.kill('SIGKILL')
      await entry.exited
    }
    await Promise.all([...runners.map((runner) => runner.stop()), advice.stop(), store.stop()])
    rmSync(folder, { recursive: true, force: true })
    writeFileSync(join(caseFolder, 'record.txt'), `${lines.join('\n')}\n`)
    if (process.env.ENTRY_LOGS !== undefined) for (const { name, log } of entries) writeFileSync(join(process.env.ENTRY_LOGS, `${name}.log`), `${log.join('\n')}\n`)
  }

  writeConfig(routes)
  return {
    store,
    runners,
    entries,
    history,
    record,
    writeConfig,
    callEntry,
    submit,
    findHolder,
    dispose,
    addRunner: async ({ id, service = services[0], rack = 'r1-1', capacity = { cpu: 16000, memMb: 65536, gpu: 0 } }) => {
      const runner = await startRunner({ id, service, zone: ZONES[runners.length % ZONES.length], host, store, history, capacity, labels: ['a', rack], record })
      runners.push(runner)
      return runner
    },
    startEntries: async () => {
      for (let index = 0; index < entryCount; index++) await startEntry(index)
      const areUp = async () => {
        for (const entry of entries) if ((await callServer(entry.ready, 'GET', '/-/readiness', {}, undefined, 1000))?.status !== 200) return false
        return services.every((service) => findHolder(service) !== null)
      }
      if (!await waitUntil(areUp, 20_000)) throw new Error('the entries did not become ready')
    },
    kill: async (entry) => {
      record(`SIGKILL to ${entry.name}`)
      entry.child.kill('SIGKILL')
      await entry.exited
    }
  }
}

/**
 * Runs a case and ends the process: 1 if `play` returns a broken rule, 0 if it returns `null`, 2 if it throws.
 */
export async function runCase (options, play) {
  let cluster = null
  let code = 2
  try {
    cluster = await startCluster(options)
    const broken = await play(cluster, process.env.TROUBLE !== '0')
    code = broken === null ? 0 : 1
    cluster.record(broken === null ? 'RESULT: the rule held' : `RESULT: the rule was broken: ${broken}`)
    process.stdout.write(broken === null ? 'held\n' : `broken: ${broken}\n`)
  } catch (error) {
    cluster?.record(`RESULT: the case could not run: ${error.stack}`)
    process.stdout.write(`could not run: ${error.stack}\n`)
  }
  await cluster?.dispose()
  process.exit(code)
}
