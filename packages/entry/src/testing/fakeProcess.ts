/** Process that a test can pause, resume and kill: its timers, its calls and their results, and its messages are held back while it is paused. */
import type { Clock, Disposable } from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import type { EndpointClient, PeerMesh, WorkerClient } from '../ports.js'

/** One process; every dependency of the code under test must be wrapped by it. */
export interface FakeProcess {
  readonly clock: Clock
  wrapPlatform: (client: PlatformClient) => PlatformClient
  wrapWorker: (client: WorkerClient) => WorkerClient
  wrapMesh: (mesh: PeerMesh) => PeerMesh
  wrapEndpoints: (client: EndpointClient) => EndpointClient
  /** Holds back outgoing calls and messages from now on and suspends the process `leadMs` later, so that it still composes commands that are sent only after the pause. */
  pause: (leadMs: number) => void
  resume: () => void
  /** Stops the process permanently; calls already in flight still take effect. */
  kill: () => void
  isRunning: () => boolean
}

interface Channel {
  isOpen: boolean
  readonly queued: Array<() => void>
}

/** Creates a running process. */
export function createFakeProcess (base: Clock): FakeProcess {
  const outbound: Channel = { isOpen: true, queued: [] }
  const inbound: Channel = { isOpen: true, queued: [] }
  let isDead = false
  let pauseTimer: Disposable = { dispose: () => {} }

  const runWhenOpen = (channel: Channel, action: () => void): void => {
    if (isDead) return
    if (channel.isOpen) action()
    else channel.queued.push(action)
  }
  const waitForOpen = (channel: Channel): Promise<void> => new Promise((resolve) => runWhenOpen(channel, resolve))
  const openChannel = (channel: Channel): void => {
    channel.isOpen = true
    for (const action of channel.queued.splice(0)) runWhenOpen(channel, action)
  }
  const callRemote = async <T>(call: () => Promise<T>): Promise<T> => {
    await waitForOpen(outbound)
    const result = await call()
    await waitForOpen(inbound)
    return result
  }
  const scheduleWhenOpen = (schedule: (action: () => void) => Disposable, action: () => void): Disposable => {
    let disposed = false
    const scheduled = schedule(() => runWhenOpen(inbound, () => {
      if (!disposed) action()
    }))
    return {
      dispose: () => {
        disposed = true
        scheduled.dispose()
      }
    }
  }
  return {
    clock: {
      nowMs: base.nowMs,
      wallMs: base.wallMs,
      setTimer: (delayMs, action) => scheduleWhenOpen((run) => base.setTimer(delayMs, run), action),
      runAfterPoll: (action) => scheduleWhenOpen(base.runAfterPoll, action)
    },
    wrapPlatform: (client) => ({
      transact: (transaction) => callRemote(() => client.transact(transaction)),
      read: (query) => callRemote(() => client.read(query)),
      listVms: () => callRemote(() => client.listVms()),
      putObject: (key, body) => callRemote(() => client.putObject(key, body)),
      getObject: (key) => callRemote(() => client.getObject(key))
    }),
    wrapWorker: (client) => ({
      renewLease: (command) => callRemote(() => client.renewLease(command)),
      startTask: (command) => callRemote(() => client.startTask(command)),
      stopTask: (command) => callRemote(() => client.stopTask(command))
    }),
    wrapEndpoints: (client) => ({
      sendExchange: (...exchange) => callRemote(() => client.sendExchange(...exchange)),
      dispose: client.dispose
    }),
    wrapMesh: (mesh) => ({
      listPeers: mesh.listPeers,
      sendMessage: (incarnation, message) => {
        if (outbound.isOpen) return mesh.sendMessage(incarnation, message)
        runWhenOpen(outbound, () => { mesh.sendMessage(incarnation, message) })
        return true
      },
      broadcastMessage: (message) => runWhenOpen(outbound, () => mesh.broadcastMessage(message)),
      onMessage: (type, receive) => mesh.onMessage(type, (message, from) => runWhenOpen(inbound, () => receive(message, from))),
      onPeerChange: (receive) => mesh.onPeerChange((peer, change) => runWhenOpen(inbound, () => receive(peer, change)))
    }),
    pause: (leadMs) => {
      outbound.isOpen = false
      // Otherwise the timer of an earlier pause could close the channel after the resume, permanently.
      pauseTimer.dispose()
      pauseTimer = base.setTimer(leadMs, () => { inbound.isOpen = false })
    },
    resume: () => {
      pauseTimer.dispose()
      if (isDead) return
      openChannel(inbound)
      openChannel(outbound)
    },
    kill: () => {
      isDead = true
      inbound.queued.length = 0
      outbound.queued.length = 0
    },
    isRunning: () => !isDead && inbound.isOpen
  }
}
