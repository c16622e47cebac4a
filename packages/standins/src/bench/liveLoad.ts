/** Closed-loop load generator: small requests over keep-alive connections, sent through entries or directly to endpoints. */
import { Agent, request } from 'node:http'
import { build, type Histogram } from 'hdr-histogram-js'

/** HTTP resource that receives load. */
export interface LiveTarget {
  readonly host: string
  readonly port: number
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
}

export interface LiveLoadOptions {
  readonly targets: readonly LiveTarget[]
  /** Concurrent requests per target. */
  readonly callersPerTarget: number
  readonly durationMs: number
}

/** Results of one load. */
export interface LiveLoadResult {
  readonly completed: number
  readonly failed: number
  readonly perSecond: number
  /** Latencies in microseconds. */
  readonly latency: Histogram
}

const MAX_LATENCY_US = 60_000_000
const US_PER_MS = 1000
const MS_PER_S = 1000

function sendRequest (agent: Agent, target: LiveTarget): Promise<boolean> {
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

/** Runs the load for its duration and waits for the requests in flight. */
export async function runLiveLoad (options: LiveLoadOptions): Promise<LiveLoadResult> {
  const latency = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3 })
  const startMs = performance.now()
  const endMs = startMs + options.durationMs
  let completed = 0
  let failed = 0
  const runCaller = async (target: LiveTarget, agent: Agent): Promise<void> => {
    while (performance.now() < endMs) {
      const sentMs = performance.now()
      if (!await sendRequest(agent, target)) {
        failed += 1
        continue
      }
      completed += 1
      latency.recordValue(Math.max(1, Math.round((performance.now() - sentMs) * US_PER_MS)))
    }
  }
  await Promise.all(options.targets.map(async (target) => {
    const agent = new Agent({ keepAlive: true, maxSockets: options.callersPerTarget })
    await Promise.all(Array.from({ length: options.callersPerTarget }, () => runCaller(target, agent)))
    agent.destroy()
  }))
  return { completed, failed, perSecond: completed / ((performance.now() - startMs) / MS_PER_S), latency }
}
