/** Reads request bodies of limited size. */
import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'

/** Why a body could not be read. */
export type BodyError = 'tooLarge' | 'interrupted'

/**
 * Reads a whole body.
 *
 * @param maxBytes size limit; reading stops once it is exceeded
 */
export function readBody (message: IncomingMessage, maxBytes: number): Promise<Result<Uint8Array, BodyError>> {
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
