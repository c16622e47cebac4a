/** Reads request bodies within a bound. */
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'

/** Why a body could not be taken. */
export type BodyFault = 'tooLarge' | 'interrupted'

/**
 * Reads a body to its end.
 *
 * @param maxBytes bound; a longer body is not read further
 */
export function readBody (message: IncomingMessage, maxBytes: number): Promise<Result<Uint8Array, BodyFault>> {
  return new Promise((resolve) => {
    const declared = Number(message.headers['content-length'] ?? 0)
    if (declared > maxBytes) {
      resolve(err('tooLarge'))
      return
    }
    const chunks: Buffer[] = []
    let size = 0
    message.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > maxBytes) {
        message.pause()
        resolve(err('tooLarge'))
        return
      }
      chunks.push(chunk)
    })
    message.on('end', () => { resolve(message.complete ? ok(Buffer.concat(chunks)) : err('interrupted')) })
    message.on('error', () => { resolve(err('interrupted')) })
    message.on('close', () => { resolve(err('interrupted')) })
  })
}
