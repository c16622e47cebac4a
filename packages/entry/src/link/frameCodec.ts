/** Wire format of links: a 4-byte big-endian length, followed by one CBOR message. */
import { createDecoder, LinkMessage } from '@fuchsiatally/core'
import type { DecodeError, Heartbeat } from '@fuchsiatally/core'
import { Decoder, Encoder, setSizeLimits } from 'cbor-x'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

const HEADER_BYTES = 4
/** Maximum number of items in an array, map or record; bounds what a forged item count can allocate. */
const MAX_ITEMS = 100_000

setSizeLimits({ maxArraySize: MAX_ITEMS, maxMapSize: MAX_ITEMS, maxObjectSize: MAX_ITEMS })

/** Protocol violation in a frame. */
export interface FrameFault {
  readonly kind: 'oversized' | 'malformed' | 'unknownMessage'
  readonly message: string
}

const CODEC_OPTIONS = { useRecords: false, mapsAsObjects: true, tagUint8Array: false } as const
const encoder = new Encoder(CODEC_OPTIONS)
const decoder = new Decoder(CODEC_OPTIONS)

/** Decoders by message type; trying each member of the union would dominate the decoding time. */
const decoders = new Map<unknown, (input: unknown) => Result<LinkMessage, DecodeError>>()
for (const member of LinkMessage.members) decoders.set(member.fields.type.literal, createDecoder(member))

/** First bytes of every encoded heartbeat: number of fields, and its type as the first of them. */
const HEARTBEAT_PREFIX = createHeartbeatPrefix()

function createHeartbeatPrefix (): Buffer {
  const type = 'heartbeat'
  const body = encoder.encode({ type, sequence: 0, leaving: false, slots: [], configVersion: 0, deniedKeyIds: [], allotmentDemand: [] } satisfies Heartbeat)
  return body.subarray(0, body.indexOf(type) + type.length)
}

/** Whether the body of a frame is a heartbeat, without decoding it. */
export function isHeartbeatFrame (body: Buffer): boolean {
  return body.length > HEARTBEAT_PREFIX.length && body.compare(HEARTBEAT_PREFIX, 0, HEARTBEAT_PREFIX.length, 0, HEARTBEAT_PREFIX.length) === 0
}

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
  if (decode === undefined) return err({ kind: 'unknownMessage', message: 'unknown message type' })
  return decode(value).mapErr(({ message }) => ({ kind: 'malformed', message }))
}

/** Splits a byte stream into frames. */
export interface FrameReader {
  /** Adds a chunk and calls `handleBody` with the body of each completed frame; reading stops when it returns `false`. */
  addChunk: (chunk: Buffer, handleBody: (body: Buffer) => boolean) => Result<null, FrameFault>
  /** Sets the maximum frame size, effective from the next frame. */
  setMaxBytes: (maxBytes: number) => void
}

/** Creates a reader. It buffers at most one incomplete frame and allocates only for bytes that have arrived. */
export function createFrameReader (firstMaxBytes: number): FrameReader {
  let maxBytes = firstMaxBytes
  let chunks: Buffer[] = []
  let bufferedBytes = 0
  let neededBytes = HEADER_BYTES

  const mergeChunks = (): Buffer => {
    const buffer = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)
    chunks = [buffer]
    return buffer
  }
  const computeNeededBytes = (buffer: Buffer, offset: number): Result<number, FrameFault> => {
    if (buffer.length - offset < HEADER_BYTES) return ok(HEADER_BYTES)
    const length = buffer.readUInt32BE(offset)
    if (length === 0) return err({ kind: 'malformed', message: 'empty frame' })
    if (length <= maxBytes) return ok(HEADER_BYTES + length)
    return err({ kind: 'oversized', message: `frame of ${length} bytes exceeds the limit of ${maxBytes} bytes` })
  }
  return {
    addChunk: (chunk, handleBody) => {
      chunks.push(chunk)
      bufferedBytes += chunk.length
      if (bufferedBytes < neededBytes) return ok(null)
      const buffer = mergeChunks()
      let offset = 0
      while (true) {
        const next = computeNeededBytes(buffer, offset)
        if (next.isErr()) return err(next.error)
        neededBytes = next.value
        if (buffer.length - offset < neededBytes || neededBytes === HEADER_BYTES) break
        const body = buffer.subarray(offset + HEADER_BYTES, offset + neededBytes)
        offset += neededBytes
        if (!handleBody(body)) return ok(null)
      }
      chunks = offset < buffer.length ? [buffer.subarray(offset)] : []
      bufferedBytes = buffer.length - offset
      return ok(null)
    },
    setMaxBytes: (next) => {
      maxBytes = next
    }
  }
}
