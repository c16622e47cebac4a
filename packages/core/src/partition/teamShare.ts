/** Tells the jobs that a client account sends beyond its share from those that it is owed. */
import { createTokenBucket, type TokenBucket } from '../request/tokenBucket.js'

/** Counts the jobs of each team. */
export interface TeamShare {
  /**
   * Takes a job, in the order of acceptance.
   *
   * @param jobsPerS jobs a second that the team is owed; one at least
   * @returns whether the team had sent as many before
   */
  recordJob: (team: string, jobsPerS: number, acceptedAtMs: number) => boolean
}

/** Creates counts of zero. */
export function createTeamShare (): TeamShare {
  const buckets = new Map<string, TokenBucket>()
  return {
    recordJob: (team, jobsPerS, acceptedAtMs) => {
      const rate = Math.max(1, jobsPerS)
      let bucket = buckets.get(team)
      if (bucket === undefined) {
        bucket = createTokenBucket(rate, acceptedAtMs)
        buckets.set(team, bucket)
      } else bucket.setRate(rate, acceptedAtMs)
      return bucket.takeToken(acceptedAtMs) > 0
    }
  }
}
