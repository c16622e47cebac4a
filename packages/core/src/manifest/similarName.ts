/** Suggestions for mistyped names. */

const MAX_NAME_LENGTH = 64

/** Finds the candidate closest to a mistyped name, or `undefined` if none is similar enough. */
export function findSimilarName (name: string, candidates: readonly string[]): string | undefined {
  if (name.length > MAX_NAME_LENGTH) return undefined
  let best: string | undefined
  let bestDistance = Math.max(1, Math.floor(name.length / 3)) + 1
  for (const candidate of candidates) {
    const distance = computeDistance(name.toLowerCase(), candidate.toLowerCase())
    if (distance >= bestDistance) continue
    best = candidate
    bestDistance = distance
  }
  return best
}

/** Computes the Levenshtein distance: the number of single-character insertions, deletions and substitutions. */
function computeDistance (a: string, b: string): number {
  let previous = Array.from({ length: b.length + 1 }, (_, index) => index)
  for (let i = 1; i <= a.length; i++) {
    const current = [i]
    for (let j = 1; j <= b.length; j++) {
      const replaced = (previous[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1)
      current.push(Math.min(replaced, (previous[j] ?? 0) + 1, (current[j - 1] ?? 0) + 1))
    }
    previous = current
  }
  return previous[b.length] ?? 0
}
