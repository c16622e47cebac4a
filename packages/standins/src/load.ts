/** Load of one deployment: requests of all teams to all services at a steady rate. */
import type { Random } from '@fuchsiatally/core'
import type { Cluster } from './cluster.js'
import { type CallerRequest, sendRequest } from './caller.js'
import type { Recorder } from './recorder.js'

export interface LoadOptions {
  readonly cluster: Cluster
  readonly recorder: Recorder
  readonly random: Random
  /** Requests a second. */
  readonly perS: number
  /** Part of the requests that must run at most once; default 0.5. */
  readonly nonIdempotentPart?: number
  /** Time over which some bodies are sent in both directions; default 300. */
  readonly slowBodyMs?: number
  /** Longest work of a request at its endpoint; default 60. */
  readonly maxWorkMs?: number
}

export interface Load {
  /** Sends one request with changes at one of the ready entries. */
  readonly sendOne: (change: Partial<CallerRequest>) => Promise<void>
  /** Sends no more and waits for the answers that are due. */
  readonly stop: () => Promise<void>
}

const SLOW_PART = 0.2
const TIMEOUT_MS = 5000
const MAX_BODY_BYTES = 20_000
const PREFIX_LENGTH = 6
const OPEN_TEAM = 'visitors'

/** Starts sending. */
export function startLoad (options: LoadOptions): Load {
  const { cluster, recorder, random } = options
  const services = cluster.deployment.manifest.services.map((service) => service.name)
  const teams = cluster.deployment.manifest.teams.map((team) => team.name)
  const open = new Set<Promise<void>>()
  // Names of requests differ between the loads that one cluster sees in turn.
  const prefix = `${cluster.deployment.cell}-${random.nextId().slice(0, PREFIX_LENGTH)}`
  let sent = 0

  const pick = <T>(items: readonly T[]): T => items[Math.floor(random.nextFloat() * items.length)]!

  const createRequest = (change: Partial<CallerRequest>): CallerRequest | undefined => {
    const ready = recorder.listReady()
    if (ready.length === 0) return undefined
    sent += 1
    const entry = pick(ready)
    const team = change.team ?? pick(teams)
    const grant = cluster.deployment.keys.get(team)
    return {
      requestKey: `${prefix}-${sent}`,
      entry: entry.name,
      address: entry.httpAddress,
      service: pick(services),
      team,
      keyId: grant?.grant.id ?? OPEN_TEAM,
      ...(grant === undefined ? {} : { key: grant.key }),
      idempotent: random.nextFloat() >= (options.nonIdempotentPart ?? 0.5),
      workMs: Math.floor(random.nextFloat() * (options.maxWorkMs ?? 60)),
      bodyBytes: Math.floor(random.nextFloat() * MAX_BODY_BYTES),
      answerBytes: Math.floor(random.nextFloat() * MAX_BODY_BYTES),
      slowBodyMs: random.nextFloat() < SLOW_PART ? options.slowBodyMs ?? 300 : 0,
      timeoutMs: TIMEOUT_MS,
      ...change
    }
  }

  const sendOne = async (change: Partial<CallerRequest>): Promise<void> => {
    const request = createRequest(change)
    if (request === undefined) return
    const sending = sendRequest(request).then(recorder.addRequest)
    open.add(sending)
    await sending
    open.delete(sending)
  }

  const timer = setInterval(() => { sendOne({}).catch(() => {}) }, 1000 / options.perS)
  return {
    sendOne,
    stop: async () => {
      clearInterval(timer)
      await Promise.all(open)
    }
  }
}
