/** Keys of teams, of the form `ft_<id>_<secret>`; entries store only their hash. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { KeyGrant, Random } from '@fuchsiatally/core'

/** A new key; `key` is shown once and never stored. */
export interface NewKey {
  readonly key: string
  readonly grant: KeyGrant
}

const KEY_PATTERN = /^ft_([a-z0-9][a-z0-9._-]{0,62})_[0-9a-f]{64}$/
const BEARER_PATTERN = /^bearer +(\S+) *$/i
const MAX_KEY_LENGTH = 512

/** Creates a key; its secret has at least 192 bits of entropy. */
export function createKey (random: Random, id: string): NewKey {
  const secret = createHash('sha256').update(`${random.nextId()} ${random.nextId()}`).digest('hex')
  const key = `ft_${id}_${secret}`
  return { key, grant: { id, sha256: computeKeyHash(key).toString('hex') } }
}

/** SHA-256 of a key; only its first `MAX_KEY_LENGTH` characters are hashed, to bound the cost. */
export function computeKeyHash (key: string): Buffer {
  return createHash('sha256').update(key.slice(0, MAX_KEY_LENGTH)).digest()
}

/** Extracts the bearer token of an `Authorization` header; `''` if there is none. */
export function parseBearerToken (authorization: string | undefined): string {
  return BEARER_PATTERN.exec((authorization ?? '').slice(0, 2 * MAX_KEY_LENGTH))?.[1] ?? ''
}

/** Extracts the public id of a key; `''` if the key is malformed. */
export function parseKeyId (key: string): string {
  return KEY_PATTERN.exec(key)?.[1] ?? ''
}

/** Compares two hashes in constant time. */
export function isSameHash (a: Buffer, b: Buffer): boolean {
  return a.length === b.length && timingSafeEqual(a, b)
}
