/** Detects jobs that a client account submits beyond its guaranteed job rate. */
import { createTokenBucket, type TokenBucket } from '../request/tokenBucket.js'

/** Token bucket per team. */
export interface JobRateMeter {
  /**
   * Records a job; must be called in order of acceptance.
   *
   * @param jobsPerS guaranteed rate of the team in jobs per second; at least 1 applies
   * @returns whether the job exceeds the guaranteed rate
   */
  recordJob: (team: string, jobsPerS: number, acceptedAtMs: number) => boolean
}

/** Creates the buckets; each starts full. */
export function createJobRateMeter (): JobRateMeter {
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
