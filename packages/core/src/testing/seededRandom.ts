/** Deterministic random source for tests. */
import { createHash } from 'node:crypto'
import type { Random } from '../clock.js'

const ID_CHARACTERS = 24
const TWO_TO_32 = 2 ** 32

/** Creates a random source whose numbers and ids depend only on the seed. */
export function createSeededRandom (seed: number): Random {
  let counter = 0
  const computeNext = (): Buffer => {
    counter += 1
    return createHash('sha256').update(`${seed}/${counter}`).digest()
  }
  return {
    nextFloat: () => computeNext().readUInt32BE(0) / TWO_TO_32,
    nextId: () => computeNext().toString('hex').slice(0, ID_CHARACTERS)
  }
}
