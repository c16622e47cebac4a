/** A closed load of small requests over kept-alive connections, through entries or straight to endpoints. */
import { Agent, request } from 'node:http'
import { build, type Histogram } from 'hdr-histogram-js'

/** Where the load goes. */
export interface LiveTarget {
  readonly host: string
  readonly port: number
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
}

/** Options of one load. */
export interface LiveLoadOptions {
  readonly targets: readonly LiveTarget[]
  /** Requests in flight at each target. */
  readonly callersPerTarget: number
  readonly durationMs: number
}

/** What one load measured. */
export interface LiveLoadResult {
  readonly completed: number
  readonly failed: number
  readonly perSecond: number
  /** Latencies in microseconds. */
  readonly latency: Histogram
}

const HIGHEST_LATENCY_US = 60_000_000
const MICROSECONDS_PER_MS = 1000
const MS_PER_S = 1000

function sendOnce (agent: Agent, target: LiveTarget): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = request({ ...target, method: 'GET', agent }, (response) => {
      response.resume()
      response.on('end', () => { resolve(response.statusCode === 200) })
      response.on('error', () => { resolve(false) })
    })
    outgoing.on('error', () => { resolve(false) })
    outgoing.end()
  })
}

/** Runs the load to its end. */
export async function runLiveLoad (options: LiveLoadOptions): Promise<LiveLoadResult> {
  const latency = build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_LATENCY_US, numberOfSignificantValueDigits: 3 })
  const startMs = performance.now()
  const endMs = startMs + options.durationMs
  let completed = 0
  let failed = 0
  const runCaller = async (target: LiveTarget, agent: Agent): Promise<void> => {
    while (performance.now() < endMs) {
      const sentMs = performance.now()
      if (!await sendOnce(agent, target)) {
        failed += 1
        continue
      }
      completed += 1
      latency.recordValue(Math.max(1, Math.round((performance.now() - sentMs) * MICROSECONDS_PER_MS)))
    }
  }
  await Promise.all(options.targets.map(async (target) => {
    const agent = new Agent({ keepAlive: true, maxSockets: options.callersPerTarget })
    await Promise.all(Array.from({ length: options.callersPerTarget }, () => runCaller(target, agent)))
    agent.destroy()
  }))
  return { completed, failed, perSecond: completed / ((performance.now() - startMs) / MS_PER_S), latency }
}
