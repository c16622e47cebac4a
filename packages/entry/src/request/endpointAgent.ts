/** Keep-alive connections to endpoints that are reused only while they are known to be clean and young. */
import { Agent, type AgentOptions, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '@fuchsiatally/core'
import { MAX_IDLE_MS } from './constants.js'

/** Bytes on an idle connection belong to no request: the next one must not take them for its answer. */
function destroyOnData (this: Socket): void {
  this.destroy()
}

/** Pool of connections by address; one exchange a connection at a time. */
export class EndpointAgent extends Agent {
  readonly #clock: Clock
  readonly #idleSinceMs = new WeakMap<Duplex, number>()

  constructor (clock: Clock, options: AgentOptions = {}) {
    super({ keepAlive: true, scheduling: 'lifo', timeout: MAX_IDLE_MS, ...options })
    this.#clock = clock
  }

  override keepSocketAlive (socket: Duplex): boolean {
    const kept = Agent.prototype.keepSocketAlive.call(this, socket) as unknown as boolean
    if (!kept) return false
    this.#idleSinceMs.set(socket, this.#clock.nowMs())
    socket.on('data', destroyOnData)
    socket.resume()
    return true
  }

  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    socket.removeListener('data', destroyOnData)
    super.reuseSocket(socket, request)
  }

  /** Closes the idle connections of an address that are older than `maxIdleMs`. */
  removeIdle (name: string, maxIdleMs: number): void {
    const nowMs = this.#clock.nowMs()
    for (const socket of [...this.freeSockets[name] ?? []]) {
      if (nowMs - (this.#idleSinceMs.get(socket) ?? -Infinity) <= maxIdleMs) continue
      socket.destroy()
      // Takes the connection out of the pool at once; its close event comes later.
      socket.emit('agentRemove')
    }
  }
}
