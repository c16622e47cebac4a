/** Peer mesh over loopback sockets: framing, limits, timeouts, reconnection. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import type { Clock, LinkMessage } from '@fuchsiatally/core'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { SessionView } from '../../ports.js'
import { createSystemClock } from '../../process/systemClock.js'
import { encodeFrame } from '../frameCodec.js'
import { createPeerMesh, type LinkMesh, type PeerMeshOptions } from '../peerMesh.js'

const WAIT_MS = 15_000

interface Node {
  readonly mesh: LinkMesh
  readonly address: string
  readonly sessions: SessionView[]
  readonly log: ReturnType<typeof createMemoryEventLog>
}

/** Runs the system clock `factor` times as fast, to shorten timeouts. */
function createFastClock (factor: number): Clock {
  const clock = createSystemClock()
  return {
    ...clock,
    nowMs: () => clock.nowMs() * factor,
    setTimer: (delayMs, action) => clock.setTimer(delayMs / factor, action)
  }
}

async function startNode (incarnation: string, options: Partial<PeerMeshOptions> = {}): Promise<Node> {
  const sessions: SessionView[] = []
  const log = createMemoryEventLog()
  const mesh = createPeerMesh({
    self: { entry: incarnation, incarnation, failureDomain: 'a' },
    host: '127.0.0.1',
    clock: createFastClock(4),
    random: createSeededRandom(1),
    log,
    listSessions: () => sessions,
    ...options
  })
  const address = (await mesh.start())._unsafeUnwrap()
  return { mesh, address, sessions, log }
}

function buildView (incarnation: string, linkAddress: string): SessionView {
  return {
    entry: incarnation, incarnation, failureDomain: 'a', linkAddress, httpAddress: '', leaving: false, configVersion: 0, expired: false
  }
}

function registerSessions (nodes: readonly Node[], names: readonly string[]): void {
  for (const node of nodes) {
    node.sessions.splice(0, node.sessions.length, ...nodes.map(({ address }, i) => buildView(names[i]!, address)))
  }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  const endMs = performance.now() + WAIT_MS
  while (!condition()) {
    if (performance.now() > endMs) throw new Error('condition not met in time')
    await wait(10)
  }
}

async function openRaw (address: string): Promise<Socket> {
  const [host, port] = address.split(':')
  const socket = connect({ host: host!, port: Number(port) })
  socket.on('error', () => {})
  await new Promise((resolve) => socket.once('connect', resolve))
  return socket
}

const HELLO = encodeFrame({ type: 'hello', entry: 'raw', incarnation: 'raw', failureDomain: 'a' })

test('each pair has one link, messages arrive in order, and a stopped peer is reported down', async () => {
  const nodes = await Promise.all(['a', 'b', 'c'].map((name) => startNode(name)))
  registerSessions(nodes, ['a', 'b', 'c'])
  const [a, b, c] = nodes as [Node, Node, Node]
  const received: LinkMessage[] = []
  const changes: string[] = []
  c.mesh.onMessage('configPull', (message) => received.push(message))
  a.mesh.onPeerChange((peer, change) => changes.push(`${peer.incarnation} ${change}`))
  await waitUntil(() => nodes.every(({ mesh }) => mesh.listPeers().length === 2))
  for (let newerThan = 0; newerThan < 500; newerThan += 1) assert.ok(a.mesh.sendMessage('c', { type: 'configPull', newerThan }))
  await waitUntil(() => received.length === 500)
  assert.equal(received.map((message) => message.type === 'configPull' && message.newerThan), Array.from({ length: 500 }, (_, i) => i))
  assert.not.ok(a.mesh.sendMessage('nobody', { type: 'jobsChanged' }))
  await b.mesh.stop()
  await waitUntil(() => changes.includes('b down'))
  await Promise.all([a.mesh.stop(), c.mesh.stop()])
})

test('the passive side dials after the grace period if the other side does not know it', async () => {
  const nodes = [await startNode('a'), await startNode('b')]
  nodes[1]!.sessions.push(buildView('a', nodes[0]!.address))
  await waitUntil(() => nodes[0]!.mesh.listPeers().length === 1 && nodes[1]!.mesh.listPeers().length === 1)
  await Promise.all(nodes.map(({ mesh }) => mesh.stop()))
})

test('oversized, malformed and unknown frames close only their own link', async () => {
  const nodes = [await startNode('a'), await startNode('b', { maxFrameBytes: 100_000 })]
  registerSessions(nodes, ['a', 'b'])
  const [a, b] = nodes as [Node, Node]
  await waitUntil(() => b.mesh.listPeers().length === 1)
  const oversized = Buffer.alloc(4)
  oversized.writeUInt32BE(200_000)
  const badFrames = [
    oversized, Buffer.from([0, 0, 0, 0]), Buffer.from([0, 0, 0, 2, 0xff, 0xff]), Buffer.from([0, 0, 0, 9, 0x9b, 0, 0, 0, 9, 0, 0, 0, 0]),
    Buffer.concat([Buffer.from([0, 0, 0, 1]), Buffer.from([0xf6])])
  ]
  for (const bytes of badFrames) {
    const socket = await openRaw(b.address)
    const closed = new Promise((resolve) => socket.once('close', resolve))
    socket.resume()
    socket.write(Buffer.concat([HELLO, bytes]))
    await closed
  }
  assert.is(b.log.listFields('FT204').length, badFrames.length)
  assert.equal(b.mesh.listPeers().map(({ incarnation }) => incarnation), ['a'])
  assert.not.ok(b.mesh.sendMessage('a', { type: 'schedulerAnswer', exchange: 'x', json: 'y'.repeat(100_000) }))
  assert.ok(a.mesh.sendMessage('b', { type: 'configPull', newerThan: 1 }))
  await Promise.all(nodes.map(({ mesh }) => mesh.stop()))
})

test('a first frame above the hello size limit is refused', async () => {
  const node = await startNode('a')
  const socket = await openRaw(node.address)
  const closed = new Promise((resolve) => socket.once('close', resolve))
  socket.resume()
  socket.write(Buffer.from([0, 0, 0x20, 0]))
  await closed
  assert.equal(node.mesh.listPeers(), [])
  await node.mesh.stop()
})

test('a link that times out is closed and dialled again', async () => {
  const accepted: Socket[] = []
  const silentServer: Server = createServer((socket) => {
    accepted.push(socket)
    socket.resume()
    socket.on('error', () => {})
    socket.write(HELLO)
  })
  await new Promise<void>((resolve) => silentServer.listen(0, '127.0.0.1', resolve))
  const node = await startNode('a')
  const changes: string[] = []
  node.mesh.onPeerChange((peer, change) => changes.push(change))
  node.sessions.push(buildView('raw', `127.0.0.1:${(silentServer.address() as AddressInfo).port}`))
  await waitUntil(() => changes.length >= 4)
  assert.equal(changes.slice(0, 4), ['up', 'down', 'up', 'down'])
  assert.ok(node.log.listFields('FT202').every(({ reason }) => reason === 'silent'))
  await node.mesh.stop()
  for (const socket of accepted) socket.destroy()
  await new Promise((resolve) => silentServer.close(resolve))
})

test('a peer that does not read fills only its own send buffer, and messages beyond the limit are refused', async () => {
  const node = await startNode('a', { maxSendBufferBytes: 1_000_000 })
  const other = await startNode('b')
  registerSessions([node, other], ['a', 'b'])
  const socket = await openRaw(node.address)
  socket.pause()
  socket.write(HELLO)
  const keepAliveTimer = setInterval(() => socket.write(encodeFrame({ type: 'jobsChanged' })), 100)
  await waitUntil(() => node.mesh.listPeers().length === 2)
  const message: LinkMessage = { type: 'schedulerAnswer', exchange: 'x', json: 'y'.repeat(100_000) }
  let sent = 0
  while (node.mesh.sendMessage('raw', message)) {
    sent += 1
    assert.ok(sent < 10_000)
    if (sent % 10 === 0) await wait(1)
  }
  assert.is(node.log.listFields('FT206').length, 1)
  assert.ok(node.mesh.sendMessage('b', message))
  clearInterval(keepAliveTimer)
  socket.destroy()
  await Promise.all([node.mesh.stop(), other.mesh.stop()])
})

test('a connection without hello is closed, and excess pending connections are refused', async () => {
  const node = await startNode('a')
  const sockets = await Promise.all(Array.from({ length: 80 }, () => openRaw(node.address)))
  let closed = 0
  for (const socket of sockets) socket.resume().once('close', () => { closed += 1 })
  await waitUntil(() => closed === sockets.length)
  assert.ok(node.log.listFields('FT205').some(({ message }) => message === 'too many connections waiting for hello'))
  await node.mesh.stop()
})

test.run()
