/** Pool of keep-alive connections to endpoints; a connection is reused only if it was not idle for too long and received no data meanwhile. */
import { Agent, type AgentOptions, type ClientRequest } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '@fuchsiatally/core'
import { MAX_IDLE_MS } from './constants.js'

/** Data on an idle connection belongs to no request and must not be taken for the response to the next one. */
function destroyOnUnexpectedData (this: Socket): void {
  this.destroy()
}

/** HTTP agent with one pool of connections for each address and one exchange at a time on each connection. */
export class EndpointConnectionPool extends Agent {
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
    socket.on('data', destroyOnUnexpectedData)
    socket.resume()
    return true
  }

  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    socket.removeListener('data', destroyOnUnexpectedData)
    super.reuseSocket(socket, request)
  }

  /** Closes the connections of an address that have been idle for longer than `maxIdleMs`. */
  removeIdleConnections (name: string, maxIdleMs: number): void {
    const nowMs = this.#clock.nowMs()
    for (const socket of [...this.freeSockets[name] ?? []]) {
      if (nowMs - (this.#idleSinceMs.get(socket) ?? -Infinity) <= maxIdleMs) continue
      socket.destroy()
      // Removes the connection from the pool synchronously; its close event is emitted later.
      socket.emit('agentRemove')
    }
  }
}
