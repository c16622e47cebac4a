/** A process that a test pauses, resumes and kills: its timers, its answers and what it sends pass a gate. */
import type { Clock, Disposable } from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import type { EndpointClient, PeerMesh, WorkerClient } from '../ports.js'

/** One process; whatever it is built from has to go through these wrappers. */
export interface FakeProcess {
  readonly clock: Clock
  wrapPlatform: (client: PlatformClient) => PlatformClient
  wrapWorker: (client: WorkerClient) => WorkerClient
  wrapMesh: (mesh: PeerMesh) => PeerMesh
  wrapEndpoints: (client: EndpointClient) => EndpointClient
  /** Holds back what the process sends from now on, and stops it `leadMs` later: commands are composed but delayed. */
  pause: (leadMs: number) => void
  resume: () => void
  /** Nothing of the process happens any more; calls on their way still arrive. */
  kill: () => void
  isRunning: () => boolean
}

interface Gate {
  isOpen: boolean
  readonly waiting: Array<() => void>
}

/** Creates a running process. */
export function createFakeProcess (base: Clock): FakeProcess {
  const outgoing: Gate = { isOpen: true, waiting: [] }
  const inside: Gate = { isOpen: true, waiting: [] }
  let isDead = false
  let pauseTimer: Disposable = { dispose: () => {} }

  const run = (gate: Gate, action: () => void): void => {
    if (isDead) return
    if (gate.isOpen) action()
    else gate.waiting.push(action)
  }
  const pass = (gate: Gate): Promise<void> => new Promise((resolve) => run(gate, resolve))
  const open = (gate: Gate): void => {
    gate.isOpen = true
    for (const action of gate.waiting.splice(0)) run(gate, action)
  }
  const callOut = async <T>(call: () => Promise<T>): Promise<T> => {
    await pass(outgoing)
    const answer = await call()
    await pass(inside)
    return answer
  }
  return {
    clock: {
      nowMs: base.nowMs,
      wallMs: base.wallMs,
      setTimer: (delayMs, action) => {
        let disposed = false
        const timer = base.setTimer(delayMs, () => run(inside, () => {
          if (!disposed) action()
        }))
        return {
          dispose: () => {
            disposed = true
            timer.dispose()
          }
        }
      }
    },
    wrapPlatform: (client) => ({
      transact: (transaction) => callOut(() => client.transact(transaction)),
      read: (query) => callOut(() => client.read(query)),
      listVms: () => callOut(() => client.listVms()),
      putObject: (key, body) => callOut(() => client.putObject(key, body)),
      getObject: (key) => callOut(() => client.getObject(key))
    }),
    wrapWorker: (client) => ({
      renewLease: (command) => callOut(() => client.renewLease(command)),
      startTask: (command) => callOut(() => client.startTask(command)),
      stopTask: (command) => callOut(() => client.stopTask(command))
    }),
    wrapEndpoints: (client) => ({
      sendExchange: (...exchange) => callOut(() => client.sendExchange(...exchange)),
      dispose: client.dispose
    }),
    wrapMesh: (mesh) => ({
      listPeers: mesh.listPeers,
      sendMessage: (incarnation, message) => {
        if (outgoing.isOpen) return mesh.sendMessage(incarnation, message)
        run(outgoing, () => { mesh.sendMessage(incarnation, message) })
        return true
      },
      broadcastMessage: (message) => run(outgoing, () => mesh.broadcastMessage(message)),
      onMessage: (type, receive) => mesh.onMessage(type, (message, from) => run(inside, () => receive(message, from))),
      onPeerChange: (receive) => mesh.onPeerChange((peer, change) => run(inside, () => receive(peer, change)))
    }),
    pause: (leadMs) => {
      outgoing.isOpen = false
      // Without this, the timer of an earlier pause would close the gate after the resume, and for good.
      pauseTimer.dispose()
      pauseTimer = base.setTimer(leadMs, () => { inside.isOpen = false })
    },
    resume: () => {
      pauseTimer.dispose()
      if (isDead) return
      open(inside)
      open(outgoing)
    },
    kill: () => {
      isDead = true
      inside.waiting.length = 0
      outgoing.waiting.length = 0
    },
    isRunning: () => !isDead && inside.isOpen
  }
}
