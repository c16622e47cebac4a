/** Placement advice: each entry serves one call at a time for itself and its peers; holders spread their questions by length. */
import { type AdviceQuestion, type Clock, type Disposable, type EventLog, type Random } from '@fuchsiatally/core'
import type { Peer, PeerMesh } from '../ports.js'
import { createAdviceQueue, type AdviceOutcome } from './adviceQueue.js'
import { ADVICE_SLACK_MS } from './constants.js'
import { adviceAnswered, adviceMissing } from './events.js'
import type { AdviceClient } from './ports.js'
import { sortByRank } from './rank.js'
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
  readonly settle: (outcome: AdviceOutcome) => void
}

/** A question on its way through the servers. */
interface RoutedQuestion {
  readonly question: AdviceQuestion
  readonly startedAtMs: number
  /** Servers that declined it. */
  readonly declined: Set<string>
}

/** Creates the desk and takes questions of peers. */
export function createAdviceDesk (options: AdviceDeskOptions): AdviceDesk {
  const { mesh, clock, events } = options
  const queue = createAdviceQueue(options)
  const asked = new Map<string, Asked>()
  /** When each server failed a question last. */
  const failedAtMs = new Map<string, number>()
  /** Time until which each server said that it is busy. */
  const busyUntilMs = new Map<string, number>()
  let disposed = false

  mesh.onMessage('adviceRequest', ({ exchange, step, workers, costMs, mostQueuedMs, patienceMs }, from) => {
    queue.ask({ step, workers, costMs, mostQueuedMs, patienceMs }).then((outcome) => {
      mesh.sendMessage(from.incarnation, {
        type: 'adviceReply',
        exchange,
        good: outcome.kind === 'advice' ? [...outcome.good] : null,
        queuedMs: outcome.kind === 'declined' ? outcome.queuedMs : 0
      })
    }, failProcess)
  })

  mesh.onMessage('adviceReply', (message, from) => {
    const question = asked.get(message.exchange)
    if (question === undefined || question.server !== from.incarnation) return
    if (message.good !== null) question.settle({ kind: 'advice', good: new Map(message.good) })
    else question.settle(message.queuedMs > 0 ? { kind: 'declined', queuedMs: message.queuedMs } : { kind: 'failed' })
  })

  /**
   * Servers that may take a question, the preferred first. All holders keep the same servers free of long calls; beyond that each
   * prefers servers of its own.
   */
  const listServers = (isLong: boolean): string[] => {
    const nowMs = clock.nowMs()
    const peers = [options.self, ...mesh.listPeers()]
      .filter((peer) => nowMs - (failedAtMs.get(peer.incarnation) ?? -Infinity) > FAILED_SERVER_PAUSE_MS)
      .sort((a, b) => a.entry < b.entry ? -1 : 1)
    const shortOnly = peers.length > 1 ? Math.max(1, Math.floor(peers.length * SHORT_SERVER_SHARE)) : 0
    const sortServers = (listed: readonly Peer[]): string[] => sortByRank(options.self.entry, listed).map((peer) => peer.incarnation)
    const forLong = sortServers(peers.slice(shortOnly))
    return isLong ? forLong : [...sortServers(peers.slice(0, shortOnly)), ...forLong]
  }

  /** Work in front of a question at a server as far as this entry knows: its own questions, and what the server told. */
  const readQueuedMs = (server: string): number => {
    let ownMs = 0
    for (const question of asked.values()) if (question.server === server) ownMs += question.costMs
    return Math.max(ownMs, (busyUntilMs.get(server) ?? -Infinity) - clock.nowMs())
  }

  const chooseServer = ({ question, declined }: RoutedQuestion): { server: string, queuedMs: number } | null => {
    const isLong = question.costMs > LONG_CALL_MS
    let best: { server: string, queuedMs: number } | null = null
    for (const server of listServers(isLong)) {
      if (declined.has(server)) continue
      const queuedMs = readQueuedMs(server)
      if (!isLong && queuedMs <= SHORT_WAIT_MS) return { server, queuedMs }
      if (queuedMs <= MAX_ADVICE_WAIT_MS && (best === null || queuedMs < best.queuedMs)) best = { server, queuedMs }
    }
    return best
  }

  const sendQuestion = (server: string, routed: RoutedQuestion, mostQueuedMs: number, onOutcome: (outcome: AdviceOutcome) => void): void => {
    const { question } = routed
    const exchange = options.random.nextId()
    const patienceMs = mostQueuedMs + question.costMs + (question.costMs > LONG_CALL_MS ? ADVICE_SLACK_MS : SHORT_SLACK_MS)
    const settle = (outcome: AdviceOutcome): void => {
      if (!asked.delete(exchange)) return
      timer.dispose()
      onOutcome(outcome)
    }
    const timer = clock.setTimer(patienceMs, () => settle({ kind: 'failed' }))
    asked.set(exchange, { server, costMs: question.costMs, settle })
    const { step, workers, costMs } = question
    if (server === options.self.incarnation) {
      queue.ask({ step, workers, costMs, mostQueuedMs, patienceMs }).then(settle, failProcess)
      return
    }
    const sent = mesh.sendMessage(server, { type: 'adviceRequest', exchange, step, workers: [...workers], costMs, mostQueuedMs, patienceMs })
    if (!sent) clock.setTimer(0, () => settle({ kind: 'failed' }))
  }

  /** Asks the best server; one that declines is followed by the next. Tells whether there was one to ask. */
  const askServers = (routed: RoutedQuestion, onAnswer: (good: ReadonlyMap<string, string> | null) => void): boolean => {
    const { question, declined } = routed
    const chosen = declined.size < MAX_DECLINES ? chooseServer(routed) : null
    if (chosen === null) return false
    const { server } = chosen
    // What this entry knows of already is no reason to decline.
    const mostQueuedMs = chosen.queuedMs + (declined.size + 1 < MAX_DECLINES ? SHORT_WAIT_MS : MAX_ADVICE_WAIT_MS)
    sendQuestion(server, routed, mostQueuedMs, (outcome) => {
      const waitedMs = Math.round(clock.nowMs() - routed.startedAtMs)
      if (outcome.kind === 'advice') {
        events.record(adviceAnswered, { step: question.step, asked: question.workers.length, good: outcome.good.size, waitedMs })
        onAnswer(outcome.good)
        return
      }
      if (outcome.kind === 'declined') {
        declined.add(server)
        busyUntilMs.set(server, clock.nowMs() + outcome.queuedMs)
        if (!disposed && askServers(routed, onAnswer)) return
      } else failedAtMs.set(server, clock.nowMs())
      events.record(adviceMissing, { step: question.step, server, waitedMs, reason: outcome.kind === 'declined' ? 'all servers are busy' : 'no answer in time' })
      onAnswer(null)
    })
    return true
  }

  mesh.onPeerChange((peer, change) => {
    if (change === 'up') return
    busyUntilMs.delete(peer.incarnation)
    failedAtMs.delete(peer.incarnation)
    for (const question of [...asked.values()]) if (question.server === peer.incarnation) question.settle({ kind: 'failed' })
  })

  return {
    tryAsk: (question, onAnswer) => askServers({ question, startedAtMs: clock.nowMs(), declined: new Set() }, onAnswer),
    dispose: () => {
      disposed = true
      for (const question of [...asked.values()]) question.settle({ kind: 'failed' })
    }
  }
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
/** Servers that may decline a question before it is asked again later. */
const MAX_DECLINES = 3
/** Time beyond the expected wait after which a short call is given up, in milliseconds: a slowed entry takes some 100 ms to answer. */
const SHORT_SLACK_MS = 400
