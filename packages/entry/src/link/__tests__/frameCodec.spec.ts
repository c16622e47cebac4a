/** Frame codec: any bytes, split at any positions, decode to messages or to a typed fault. */
import { createDecoder, LinkMessage } from '@fuchsiatally/core'
import { Encoder } from 'cbor-x'
import * as fc from 'fast-check'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createFrameReader, decodeFrame, encodeFrame } from '../frameCodec.js'

const OPTIONS = resolveFuzzOptions(7, 400)
const MAX_BYTES = 10_000
const attempt = fc.record({ job: fc.string(), task: fc.nat(), attempt: fc.integer({ min: 1, max: 1e6 }) })
const message: fc.Arbitrary<LinkMessage> = fc.oneof(
  fc.record({ type: fc.constant('configPull' as const), newerThan: fc.integer() }),
  fc.record({ type: fc.constant('schedulerAnswer' as const), exchange: fc.string(), json: fc.option(fc.string({ unit: 'grapheme' })) }),
  fc.record({
    type: fc.constant('workerObserved' as const),
    worker: fc.string(),
    workerEpoch: fc.nat(),
    cellEpoch: fc.nat(),
    desiredSequence: fc.nat(),
    state: fc.constantFrom('reachable' as const, 'unreachable' as const, 'lost' as const),
    running: fc.array(attempt),
    ended: fc.constant([]),
    usage: fc.constant([])
  }),
  fc.record({
    type: fc.constant('forwardReply' as const),
    exchange: fc.string(),
    outcome: fc.record({
      kind: fc.constant('completed' as const),
      status: fc.integer({ min: 200, max: 599 }),
      // Headers named __proto__ are dropped on ingress, so no message contains one.
      headers: fc.dictionary(fc.string().filter((name) => name !== '__proto__'), fc.string()),
      body: fc.uint8Array({ maxLength: 300 }),
      worker: fc.string()
    })
  })
)

function toComparable (value: LinkMessage): string {
  return JSON.stringify(value, (_, part) => part instanceof Uint8Array ? { type: 'Buffer', data: [...part] } : part)
}

/** Feeds bytes to a reader in pieces of the given sizes and collects the frame bodies. */
function readPieces (bytes: Buffer, sizes: readonly number[]): { bodies: Buffer[], fault: string | null } {
  const reader = createFrameReader(MAX_BYTES)
  const bodies: Buffer[] = []
  let offset = 0
  for (let i = 0; offset < bytes.length; i += 1) {
    const size = Math.max(1, sizes[i % Math.max(1, sizes.length)] ?? bytes.length)
    const outcome = reader.addChunk(bytes.subarray(offset, offset + size), (body) => bodies.push(body) > 0)
    if (outcome.isErr()) return { bodies, fault: outcome.error.kind }
    offset += size
  }
  return { bodies, fault: null }
}

test('messages survive any split of the stream', () => {
  fc.assert(fc.property(fc.array(message, { maxLength: 8 }), fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 1 }), (messages, sizes) => {
    const { bodies, fault } = readPieces(Buffer.concat(messages.map(encodeFrame)), sizes)
    assert.is(fault, null)
    assert.equal(bodies.map((body) => toComparable(decodeFrame(body)._unsafeUnwrap())), messages.map(toComparable))
  }), OPTIONS)
})

test('arbitrary bytes decode to a message or a typed fault', () => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), fc.array(fc.integer({ min: 1, max: 60 })), (bytes, sizes) => {
    const { bodies } = readPieces(Buffer.from(bytes), sizes)
    for (const body of [...bodies, Buffer.from(bytes)]) {
      const decoded = decodeFrame(body)
      if (decoded.isErr()) assert.ok(['malformed', 'unknownMessage'].includes(decoded.error.kind))
    }
  }), { ...OPTIONS, numRuns: 5_000 })
})

test('well-formed CBOR that does not match the schema is refused', () => {
  const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false })
  const decode = createDecoder(LinkMessage)
  const typed = fc.record({ type: fc.constantFrom('hello', 'heartbeat', 'workerDesired', 'toString', '__proto__'), worker: fc.anything() })
  fc.assert(fc.property(fc.oneof(fc.jsonValue(), typed), (value) => {
    const body = Buffer.from(encoder.encode(value))
    assert.ok(decodeFrame(body).isErr())
    assert.ok(decode(value).isErr())
  }), OPTIONS)
})

test.run()
