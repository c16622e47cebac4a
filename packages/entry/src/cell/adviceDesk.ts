/** Placement advice: each entry serves one call at a time for itself and its peers; holders spread their questions by length. */
import { createDisposableStore, type AdviceQuestion, type Clock, type Disposable, type EventLog, type Random } from '@fuchsiatally/core'
import type { PeerMesh } from '../ports.js'
import { ADVICE_SLACK_MS, MAX_ADVICE_QUEUE } from './constants.js'
import { adviceAnswered, adviceMissing } from './events.js'
import type { AdviceClient } from './ports.js'

/** Options of the desk. */
export interface AdviceDeskOptions {
  readonly incarnation: string
  readonly client: AdviceClient
  readonly mesh: PeerMesh
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
}

/** Answers questions of this entry's cells. */
export interface AdviceDesk extends Disposable {
  /** Tickets by worker, or `null` if there was no answer in time. */
  askAdvice: (question: AdviceQuestion) => Promise<ReadonlyMap<string, string> | null>
}

interface Asked {
  readonly server: string
  readonly costMs: number
  readonly settle: (good: ReadonlyMap<string, string> | null) => void
}

/** Creates the desk and takes questions of peers. */
export function createAdviceDesk (options: AdviceDeskOptions): AdviceDesk {
  const { mesh, clock, events } = options
  const disposables = createDisposableStore()
  const asked = new Map<string, Asked>()
  /** When each server failed a question last. */
  const failedAtMs = new Map<string, number>()
  let tail: Promise<unknown> = Promise.resolve()
  let queued = 0

  const callService = async (step: string, workers: readonly string[], costMs: number): Promise<ReadonlyMap<string, string> | null> => {
    const result = await options.client.askAdvice(step, workers, costMs + ADVICE_SLACK_MS)
    if (result.isErr()) {
      events.record(adviceMissing, { step, reason: result.error.message })
      return null
    }
    return result.value
  }

  const queueCall = async (step: string, workers: readonly string[], costMs: number): Promise<ReadonlyMap<string, string> | null> => {
    if (queued >= MAX_ADVICE_QUEUE) return null
    queued++
    const call = tail.then(() => callService(step, workers, costMs))
    tail = call
    try {
      return await call
    } finally {
      queued--
    }
  }

  mesh.onMessage('adviceRequest', (message, from) => {
    queueCall(message.step, message.workers, message.costMs).then((good) => {
      mesh.sendMessage(from.incarnation, { type: 'adviceReply', exchange: message.exchange, good: good === null ? null : [...good] })
    }, failProcess)
  })

  mesh.onMessage('adviceReply', (message, from) => {
    const question = asked.get(message.exchange)
    if (question === undefined || question.server !== from.incarnation) return
    question.settle(message.good === null ? null : new Map(message.good))
  })

  const chooseServer = (): string => {
    const loads = new Map<string, number>([[options.incarnation, 0]])
    for (const peer of mesh.listPeers()) loads.set(peer.incarnation, 0)
    for (const { server, costMs } of asked.values()) loads.set(server, (loads.get(server) ?? 0) + costMs)
    const nowMs = clock.nowMs()
    let best = options.incarnation
    let bestLoad = Infinity
    for (const [server, load] of loads) {
      const penalty = nowMs - (failedAtMs.get(server) ?? -Infinity) < FAILED_SERVER_PAUSE_MS ? FAILED_SERVER_LOAD_MS : 0
      if (load + penalty >= bestLoad) continue
      best = server
      bestLoad = load + penalty
    }
    return best
  }

  const askAdvice = (question: AdviceQuestion): Promise<ReadonlyMap<string, string> | null> => new Promise((resolve) => {
    const exchange = options.random.nextId()
    const server = chooseServer()
    const queuedMs = [...asked.values()].reduce((sum, other) => other.server === server ? sum + other.costMs : sum, 0)
    const startedAtMs = clock.nowMs()
    const settle = (good: ReadonlyMap<string, string> | null): void => {
      if (!asked.delete(exchange)) return
      timer.dispose()
      if (good === null) failedAtMs.set(server, clock.nowMs())
      else events.record(adviceAnswered, { step: question.step, asked: question.workers.length, good: good.size, waitedMs: Math.round(clock.nowMs() - startedAtMs) })
      resolve(good)
    }
    const timer = disposables.add(clock.setTimer(queuedMs + question.costMs + ADVICE_SLACK_MS, () => {
      events.record(adviceMissing, { step: question.step, reason: 'no answer in time', server })
      settle(null)
    }))
    asked.set(exchange, { server, costMs: question.costMs, settle })
    if (server === options.incarnation) {
      queueCall(question.step, question.workers, question.costMs).then(settle, failProcess)
      return
    }
    const sent = mesh.sendMessage(server, { type: 'adviceRequest', exchange, step: question.step, workers: [...question.workers], costMs: question.costMs })
    if (!sent) settle(null)
  })

  return { askAdvice, dispose: () => disposables.dispose() }
}

/** Time for which a server that failed a question is avoided, in milliseconds; about one repair of a link. */
const FAILED_SERVER_PAUSE_MS = 3000
/** Load that an avoided server counts as, in milliseconds: used only where all others are busier. */
const FAILED_SERVER_LOAD_MS = 5000

function failProcess (error: unknown): void {
  queueMicrotask(() => { throw error })
}
