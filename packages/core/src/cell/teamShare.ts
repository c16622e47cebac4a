/** Tells the jobs that a client account sends beyond its share from those that it is owed. */

/** Counts the jobs of each team. */
export interface TeamShare {
  /**
   * Takes a job, in the order of acceptance.
   *
   * @param jobsPerS jobs a second that the team is owed
   * @returns whether the team had sent as many before
   */
  recordJob: (team: string, jobsPerS: number, acceptedAtMs: number) => boolean
}

interface Bucket {
  tokens: number
  filledAtMs: number
}

/** Creates counts of zero. */
export function createTeamShare (): TeamShare {
  const buckets = new Map<string, Bucket>()
  return {
    recordJob: (team, jobsPerS, acceptedAtMs) => {
      const most = Math.max(1, jobsPerS)
      let bucket = buckets.get(team)
      if (bucket === undefined) {
        bucket = { tokens: most, filledAtMs: acceptedAtMs }
        buckets.set(team, bucket)
      }
      // Entries accept by their own clocks: a job that seems older than the last one fills nothing.
      const passedMs = Math.max(0, acceptedAtMs - bucket.filledAtMs)
      bucket.tokens = Math.min(most, bucket.tokens + passedMs * jobsPerS / MS_PER_S)
      bucket.filledAtMs += passedMs
      if (bucket.tokens < 1) return true
      bucket.tokens--
      return false
    }
  }
}

const MS_PER_S = 1000
