/** Process whose event loop is blocked at times: its timers, responses and messages are handled late, while the others keep running. */
import type { Clock, Disposable } from '@fuchsiatally/core'
import { err, type Result } from 'neverthrow'
import type { PeerMesh } from '../ports.js'
import type { CallFailure, PartitionTable, PartitionWorkerClient } from '../partition/ports.js'

/** One process with its own view of the environment. */
export interface LateProcess {
  readonly clock: Clock
  /** Blocks the event loop from now on. */
  block: (ms: number) => void
  /** Suspends the process from now on: its monotonic clock stands still meanwhile, its wall clock does not. */
  suspend: (ms: number) => void
  wrapTable: (table: PartitionTable) => PartitionTable
  wrapWorkerClient: (client: PartitionWorkerClient) => PartitionWorkerClient
  wrapMesh: (mesh: PeerMesh) => PeerMesh
}

const DEFAULT_TIMEOUT_MS = 1200

/** Creates a process that is not blocked. */
export function createLateProcess (clock: Clock): LateProcess {
  let blockedUntilMs = -Infinity
  /** Time of completed suspensions, which the monotonic clock of the process does not count. */
  let suspendedMs = 0
  /** Start of the current suspension. */
  let suspendedSinceMs: number | null = null

  const isBlocked = (): boolean => clock.nowMs() < blockedUntilMs

  const readMonotonicMs = (): number => (suspendedSinceMs ?? clock.nowMs()) - suspendedMs

  /** Runs an action once the event loop is free; timers that became due run before responses are read. */
  const runWhenFree = (action: () => void, isTimer: boolean): void => {
    if (isBlocked()) clock.setTimer(blockedUntilMs - clock.nowMs() + (isTimer ? 0 : 1), action)
    else action()
  }

  const waitUntilFree = (): Promise<void> => new Promise((resolve) => { runWhenFree(resolve, false) })

  const waitForResponse = async <T> (call: Promise<T>): Promise<T> => {
    const response = await call
    if (isBlocked()) await waitUntilFree()
    return response
  }

  /** Like `waitForResponse`, but the timer of the call runs before a response that has arrived is read. */
  const waitWithTimeout = async <T> (call: Promise<Result<T, CallFailure>>, timeoutMs: number): Promise<Result<T, CallFailure>> => {
    const sentAtMs = clock.nowMs()
    const response = await call
    if (!isBlocked()) return response
    const isTimedOut = blockedUntilMs - sentAtMs >= timeoutMs
    await waitUntilFree()
    return isTimedOut ? err({ kind: 'unknown', message: 'no response' }) : response
  }

  return {
    clock: {
      ...clock,
      nowMs: readMonotonicMs,
      setTimer: (delayMs, action) => {
        let isDisposed = false
        const dueMs = readMonotonicMs() + delayMs
        let timer: Disposable
        const runWhenDue = (): void => {
          if (isDisposed) return
          const leftMs = dueMs - readMonotonicMs()
          if (leftMs > 0) timer = clock.setTimer(leftMs, () => runWhenFree(runWhenDue, true))
          else action()
        }
        timer = clock.setTimer(delayMs, () => runWhenFree(runWhenDue, true))
        return {
          dispose: () => {
            isDisposed = true
            timer.dispose()
          }
        }
      }
    },
    block: (ms) => { blockedUntilMs = clock.nowMs() + ms },
    suspend: (ms) => {
      suspendedSinceMs = clock.nowMs()
      blockedUntilMs = suspendedSinceMs + ms
      // Set first, so that it runs before everything that waits for the end of the suspension.
      clock.setTimer(ms, () => {
        suspendedMs += ms
        suspendedSinceMs = null
      })
    },
    wrapTable: (table) => ({
      commit: (transaction, timeoutMs = DEFAULT_TIMEOUT_MS) => waitWithTimeout(table.commit(transaction, timeoutMs), timeoutMs),
      readRange: (range) => waitForResponse(table.readRange(range)),
      readChanges: (name, version, waitMs) => waitForResponse(table.readChanges(name, version, waitMs))
    }),
    wrapWorkerClient: (client) => ({
      renewLease: (request) => waitForResponse(client.renewLease(request)),
      startRun: (...order) => waitForResponse(client.startRun(...order)),
      stopRun: (run, epoch) => waitForResponse(client.stopRun(run, epoch)),
      dispose: () => client.dispose()
    }),
    wrapMesh: (mesh) => ({
      ...mesh,
      onMessage: (type, receive) => mesh.onMessage(type, (message, from) => runWhenFree(() => receive(message, from), false))
    })
  }
}
