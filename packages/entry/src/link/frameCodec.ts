/** Frames of links: four bytes of length, big-endian, then one message in CBOR. */
import { createDecoder, LinkMessage } from '@fuchsiatally/core'
import type { DecodeError } from '@fuchsiatally/core'
import { Decoder, Encoder, setSizeLimits } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

const HEADER_BYTES = 4
/** Most items of one array, map or record: a count in a few bytes must not allocate more. */
const MAX_ITEMS = 100_000

setSizeLimits({ maxArraySize: MAX_ITEMS, maxMapSize: MAX_ITEMS, maxObjectSize: MAX_ITEMS })

/** A frame that no link may carry. */
export interface FrameFault {
  readonly kind: 'oversized' | 'malformed' | 'unknownMessage'
  readonly message: string
}

const CODEC_OPTIONS = { useRecords: false, mapsAsObjects: true, tagUint8Array: false } as const
const encoder = new Encoder(CODEC_OPTIONS)
const decoder = new Decoder(CODEC_OPTIONS)

/** Decoders by message type: trying each member of the union would cost more than all else. */
const decoders = new Map<unknown, (input: unknown) => Result<LinkMessage, DecodeError>>()
for (const member of LinkMessage.members) decoders.set(member.fields.type.literal, createDecoder(member))

/** Encodes a message as one frame. */
export function encodeFrame (message: LinkMessage): Buffer {
  const body = encoder.encode(message)
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, HEADER_BYTES)
  return frame
}

/** Decodes the body of a frame; never throws. */
export function decodeFrame (body: Buffer): Result<LinkMessage, FrameFault> {
  let value: unknown
  try {
    value = decoder.decode(body)
  } catch (error) {
    return err({ kind: 'malformed', message: String(error) })
  }
  const decode = decoders.get((value as { type?: unknown } | null | undefined)?.type)
  if (decode === undefined) return err({ kind: 'unknownMessage', message: 'no message of a known type' })
  return decode(value).mapErr(({ message }) => ({ kind: 'malformed', message }))
}

/** Cuts a stream of chunks into frames. */
export interface FrameReader {
  /** Takes a chunk; `receive` gets the body of each frame that is complete and tells whether to go on. */
  addChunk: (chunk: Buffer, receive: (body: Buffer) => boolean) => Result<null, FrameFault>
  /** Changes the largest frame accepted from the next one on. */
  setMaxBytes: (maxBytes: number) => void
}

/** Creates a reader; it holds at most one incomplete frame and allocates only what has arrived. */
export function createFrameReader (firstMaxBytes: number): FrameReader {
  let maxBytes = firstMaxBytes
  let parts: Buffer[] = []
  let buffered = 0
  let needed = HEADER_BYTES

  const takeBuffered = (): Buffer => {
    const whole = parts.length === 1 ? parts[0]! : Buffer.concat(parts)
    parts = [whole]
    return whole
  }
  const readNeeded = (whole: Buffer, offset: number): Result<number, FrameFault> => {
    if (whole.length - offset < HEADER_BYTES) return ok(HEADER_BYTES)
    const length = whole.readUInt32BE(offset)
    if (length === 0) return err({ kind: 'malformed', message: 'empty frame' })
    if (length <= maxBytes) return ok(HEADER_BYTES + length)
    return err({ kind: 'oversized', message: `frame of ${length} bytes, at most ${maxBytes} are accepted` })
  }
  return {
    addChunk: (chunk, receive) => {
      parts.push(chunk)
      buffered += chunk.length
      if (buffered < needed) return ok(null)
      const whole = takeBuffered()
      let offset = 0
      while (true) {
        const next = readNeeded(whole, offset)
        if (next.isErr()) return err(next.error)
        needed = next.value
        if (whole.length - offset < needed || needed === HEADER_BYTES) break
        const body = whole.subarray(offset + HEADER_BYTES, offset + needed)
        offset += needed
        if (!receive(body)) return ok(null)
      }
      parts = offset < whole.length ? [whole.subarray(offset)] : []
      buffered = whole.length - offset
      return ok(null)
    },
    setMaxBytes: (next) => {
      maxBytes = next
    }
  }
}
