/** Microbenchmark of encoding and decoding link frames. */
import type { LinkMessage } from '@fuchsiatally/core'
import { decodeFrame, encodeFrame } from '@fuchsiatally/entry/link/frameCodec'

/** Results for one message. */
export interface CodecMeasurement {
  readonly message: string
  readonly bytes: number
  readonly encodeUs: number
  readonly decodeUs: number
}

const ITERATIONS = 20_000
const WARM_UP_ITERATIONS = 2_000
const HEADER_BYTES = 4

function buildWorkerObserved (tasks: number): LinkMessage {
  const ids = Array.from({ length: tasks }, (_, task) => ({ job: 'job-0123456789abcdef', task, attempt: 1 }))
  return {
    type: 'workerObserved',
    worker: 'worker-vm-17',
    workerEpoch: 3,
    cellEpoch: 2,
    desiredSequence: 1234,
    state: 'reachable',
    running: ids,
    ended: [],
    usage: ids.map((id) => ({ id, used: { processors: 0.8, memoryMb: 410, accelerators: 0 } }))
  }
}

function buildHeartbeat (services: number): LinkMessage {
  return {
    type: 'heartbeat',
    sequence: 12_345,
    leaving: false,
    slots: Array.from({ length: services }, (_, i) => ({ service: `service-${i}`, free: 100, total: 192, queued: 3 })),
    configVersion: 120,
    deniedKeyIds: [],
    allotmentDemand: [{ team: 'team-12', waiting: 4 }]
  }
}

function measureMeanUs (iterations: number, run: () => void): number {
  const startMs = performance.now()
  for (let i = 0; i < iterations; i += 1) run()
  return (performance.now() - startMs) * 1_000 / iterations
}

/** Measures `heartbeat` and `workerObserved` messages of three sizes each. */
export function measureCodec (): CodecMeasurement[] {
  const messages: Array<[string, LinkMessage]> = [
    ...[2, 8, 32].map((size): [string, LinkMessage] => [`heartbeat, ${size} services`, buildHeartbeat(size)]),
    ...[0, 17, 68].map((size): [string, LinkMessage] => [`workerObserved, ${size} tasks`, buildWorkerObserved(size)])
  ]
  return messages.map(([message, value]) => {
    const frame = encodeFrame(value)
    const body = frame.subarray(HEADER_BYTES)
    measureMeanUs(WARM_UP_ITERATIONS, () => { encodeFrame(value) })
    measureMeanUs(WARM_UP_ITERATIONS, () => { decodeFrame(body) })
    return {
      message,
      bytes: frame.length,
      encodeUs: measureMeanUs(ITERATIONS, () => { encodeFrame(value) }),
      decodeUs: measureMeanUs(ITERATIONS, () => { decodeFrame(body) })
    }
  })
}
