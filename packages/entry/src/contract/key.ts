/** Keys of teams: `ft_<id>_<secret>`, known to the entry only by their hash. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { KeyGrant, Random } from '@fuchsiatally/core'

/** A new key; `key` is shown once and kept nowhere. */
export interface NewKey {
  readonly key: string
  readonly grant: KeyGrant
}

const KEY = /^ft_([a-z0-9][a-z0-9._-]{0,62})_[0-9a-f]{64}$/
const BEARER = /^bearer +(\S+) *$/i
const MAX_KEY_LENGTH = 512

/** Makes a key with an id; its secret has at least 192 random bits. */
export function createKey (random: Random, id: string): NewKey {
  const secret = createHash('sha256').update(`${random.nextId()} ${random.nextId()}`).digest('hex')
  const key = `ft_${id}_${secret}`
  return { key, grant: { id, sha256: computeKeyHash(key).toString('hex') } }
}

/** SHA-256 of a key; longer input than any key is cut first, so that hashing is bounded. */
export function computeKeyHash (key: string): Buffer {
  return createHash('sha256').update(key.slice(0, MAX_KEY_LENGTH)).digest()
}

/** Reads the key of an `Authorization` header; `''` if there is none. */
export function readBearer (authorization: string | undefined): string {
  return BEARER.exec((authorization ?? '').slice(0, 2 * MAX_KEY_LENGTH))?.[1] ?? ''
}

/** Reads the public id of a key; `''` if the key is malformed. */
export function readKeyId (key: string): string {
  return KEY.exec(key)?.[1] ?? ''
}

/** Compares two hashes in constant time. */
export function isSameHash (a: Buffer, b: Buffer): boolean {
  return a.length === b.length && timingSafeEqual(a, b)
}
