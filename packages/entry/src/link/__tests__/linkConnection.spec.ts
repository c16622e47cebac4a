/** Hello timeout of a connection. */
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'
import type { Heartbeat } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { HELLO_TIMEOUT_MS } from '../constants.js'
import { encodeFrame } from '../frameCodec.js'
import { createLinkConnection } from '../linkConnection.js'

const HELLO = encodeFrame({ type: 'hello', entry: 'b', incarnation: 'b', failureDomain: 'a' })

const HEARTBEAT: Heartbeat = { type: 'heartbeat', sequence: 5, leaving: false, slots: [], configVersion: 0, deniedKeyIds: [], allotmentDemand: [] }

function startConnection (usesHeartbeats = true) {
  const clock = createFakeClock()
  const socket = Object.assign(new Duplex({ read: () => {}, write: (_chunk, _encoding, done) => { done() } }), { setNoDelay: () => {} })
  const events: string[] = []
  const connection = createLinkConnection({
    socket: socket as unknown as Socket,
    clock,
    self: { entry: 'a', incarnation: 'a', failureDomain: 'a' },
    dialled: false,
    maxFrameBytes: 4096,
    maxSendBufferBytes: 4096,
    onHello: (peer) => { events.push(`hello of ${peer.entry}`) },
    onMessage: (message) => { events.push(message.type) },
    usesHeartbeats: () => usesHeartbeats,
    onClose: (reason) => { events.push(reason.kind) }
  })
  return { clock, socket, events, connection }
}

// Guards against a late entry that refuses a link whose hello it has not read yet.
test('a hello that waits for a late event loop is accepted', () => {
  const { clock, socket, events, connection } = startConnection()
  clock.block(2 * HELLO_TIMEOUT_MS)
  // Read in the poll phase, after the timers that are due.
  clock.setTimer(0, () => { socket.emit('data', HELLO) })
  clock.advance(1000)
  assert.equal(events, ['hello of b'])
  connection.close({ kind: 'stopped' })
})

test('a connection without hello is closed at the timeout', () => {
  const { clock, events } = startConnection()
  clock.advance(HELLO_TIMEOUT_MS - 1)
  assert.equal(events, [])
  clock.advance(1)
  assert.equal(events, ['helloRefused'])
})

// Guards against heartbeats of many peers, whose decoding took most of the processor time of an idle entry.
test('heartbeats are not decoded if nobody uses their contents', () => {
  const frames = [1, 70_000, 2 ** 40].map((sequence) => encodeFrame({ ...HEARTBEAT, sequence, slots: [{ service: 's', free: 1, total: 2, queued: 0 }] }))
  // The last two bytes are of the contents, which are then malformed.
  const malformed = encodeFrame(HEARTBEAT)
  malformed.fill(0xff, malformed.length - 2)
  for (const usesHeartbeats of [true, false]) {
    const { clock, socket, events, connection } = startConnection(usesHeartbeats)
    socket.emit('data', HELLO)
    clock.advance(100)
    for (const frame of frames) socket.emit('data', frame)
    assert.is(connection.readLastReceivedMs(), clock.nowMs())
    socket.emit('data', encodeFrame({ type: 'jobsChanged' }))
    assert.equal(events, ['hello of b', ...(usesHeartbeats ? frames.map(() => 'heartbeat') : []), 'jobsChanged'])
    socket.emit('data', malformed)
    assert.is(events.at(-1), usesHeartbeats ? 'frameRefused' : 'jobsChanged')
    connection.close({ kind: 'stopped' })
  }
})

test.run()
