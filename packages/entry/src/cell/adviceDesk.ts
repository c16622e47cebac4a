/** Placement advice: each entry serves one call at a time for itself and its peers; holders spread their questions by length. */
import { type AdviceQuestion, type Clock, type Disposable, type EventLog, type Random } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'
import { ADVICE_SLACK_MS, MAX_ADVICE_QUEUE } from './constants.js'
import { adviceAnswered, adviceMissing } from './events.js'
import type { AdviceClient } from './ports.js'
import { computeRank } from './rank.js'
import { failProcess } from '../process/failProcess.js'

/** Options of the desk. */
export interface AdviceDeskOptions {
  readonly self: Peer
  readonly client: AdviceClient
  readonly mesh: PeerMesh
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
}

/** Answers questions of this entry's cells. */
export interface AdviceDesk extends Disposable {
  /**
   * Asks unless all servers are busy, which `false` tells.
   *
   * @param onAnswer gets the tickets by worker, or `null` if there was no answer in time
   */
  tryAsk: (question: AdviceQuestion, onAnswer: (good: ReadonlyMap<string, string> | null) => void) => boolean
}

interface Asked {
  readonly server: string
  readonly costMs: number
  readonly settle: (good: ReadonlyMap<string, string> | null) => void
}

/** Creates the desk and takes questions of peers. */
export function createAdviceDesk (options: AdviceDeskOptions): AdviceDesk {
  const { mesh, clock, events } = options
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

  /**
   * Servers that may take a question, the preferred first. All holders keep the same servers free of long calls, for none of
   * them sees the others' questions; beyond that each prefers servers of its own.
   */
  const listServers = (isLong: boolean): string[] => {
    const peers = [options.self, ...mesh.listPeers()].sort((a, b) => a.entry < b.entry ? -1 : 1)
    const shortOnly = Math.max(1, Math.floor(peers.length * SHORT_SERVER_SHARE))
    const nowMs = clock.nowMs()
    const listUsable = (listed: readonly Peer[]): string[] => {
      const names = listed.map((peer) => peer.entry)
      return listed.filter((peer) => nowMs - (failedAtMs.get(peer.incarnation) ?? -Infinity) > FAILED_SERVER_PAUSE_MS)
        .sort((a, b) => computeRank(options.self.entry, a.entry, names) - computeRank(options.self.entry, b.entry, names))
        .map((peer) => peer.incarnation)
    }
    const forLong = listUsable(peers.length > 1 ? peers.slice(shortOnly) : peers)
    return isLong ? forLong : [...listUsable(peers.slice(0, shortOnly)), ...forLong]
  }

  const readLoad = (server: string): number => {
    let loadMs = 0
    for (const question of asked.values()) if (question.server === server) loadMs += question.costMs
    return loadMs
  }

  const chooseServer = (costMs: number): { server: string, queuedMs: number } | null => {
    const isLong = costMs > LONG_CALL_MS
    let best: { server: string, queuedMs: number } | null = null
    for (const server of listServers(isLong)) {
      const queuedMs = readLoad(server)
      if (!isLong && queuedMs <= SHORT_WAIT_MS) return { server, queuedMs }
      if (queuedMs <= MAX_ADVICE_WAIT_MS && (best === null || queuedMs < best.queuedMs)) best = { server, queuedMs }
    }
    return best
  }

  const tryAsk: AdviceDesk['tryAsk'] = (question, onAnswer) => {
    const chosen = chooseServer(question.costMs)
    if (chosen === null) return false
    const { server, queuedMs } = chosen
    const exchange = options.random.nextId()
    const startedAtMs = clock.nowMs()
    const settle = (good: ReadonlyMap<string, string> | null): void => {
      if (!asked.delete(exchange)) return
      timer.dispose()
      const waitedMs = Math.round(clock.nowMs() - startedAtMs)
      if (good !== null) events.record(adviceAnswered, { step: question.step, asked: question.workers.length, good: good.size, waitedMs })
      else {
        failedAtMs.set(server, clock.nowMs())
        events.record(adviceMissing, { step: question.step, server, waitedMs })
      }
      onAnswer(good)
    }
    const timer = clock.setTimer(queuedMs + question.costMs + ADVICE_SLACK_MS, () => settle(null))
    asked.set(exchange, { server, costMs: question.costMs, settle })
    if (server === options.self.incarnation) {
      queueCall(question.step, question.workers, question.costMs).then(settle, failProcess)
      return true
    }
    const sent = mesh.sendMessage(server, { type: 'adviceRequest', exchange, step: question.step, workers: [...question.workers], costMs: question.costMs })
    if (!sent) clock.setTimer(0, () => settle(null))
    return true
  }

  mesh.onPeerChange((peer, change) => {
    if (change === 'up') return
    for (const question of [...asked.values()]) if (question.server === peer.incarnation) question.settle(null)
  })

  return { tryAsk, dispose: () => { for (const question of [...asked.values()]) question.settle(null) } }
}

/** Time for which a server that failed a question is avoided, in milliseconds; about one repair of a link. */
const FAILED_SERVER_PAUSE_MS = 3000
/** A call is long from this time on, in milliseconds: between the 30 ms and the 200 ms that the users' queues ask for. */
const LONG_CALL_MS = 100
/** Share of the servers that take short calls alone. */
const SHORT_SERVER_SHARE = 0.3
/** Work in front of a short call up to which the next preferred server is not tried, in milliseconds; about one such call. */
const SHORT_WAIT_MS = 30
/** Longest work in front of a question that is still sent, in milliseconds; more would outlast the tickets. */
const MAX_ADVICE_WAIT_MS = 400
