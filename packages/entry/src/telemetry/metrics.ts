/** Metrics of the process in the Prometheus text format; latencies are recorded in HDR histograms. */
import { build, type Histogram } from 'hdr-histogram-js'
import { collectDefaultMetrics, Counter, Gauge, Registry } from 'prom-client'
import type { Disposable, EventDefinition, EventFields } from '@fuchsiatally/core'
import type { Traffic } from './trafficMeter.js'

const MAX_LATENCY_US = 120_000_000
const SIGNIFICANT_DIGITS = 2
const PERCENTILES = [50, 99, 99.9] as const
const MICROSECONDS_PER_MS = 1000

/** Metrics of one process. */
export interface Metrics extends Disposable {
  /** Counts an event under its id. */
  countEvent: (event: EventDefinition, fields: EventFields) => void
  /** Records the time of a request from arrival to its final outcome, in milliseconds. */
  recordRequest: (outcome: string, elapsedMs: number) => void
  /** Records the duration of one part of a job or call, in milliseconds. */
  recordWait: (part: string, elapsedMs: number) => void
  /** Registers a gauge whose value is read at each scrape. */
  addGauge: (name: string, help: string, readValue: () => number) => void
  /** Registers the gauge of bytes by kind of peer. */
  addTraffic: (listTraffic: () => readonly Traffic[]) => void
  render: () => Promise<string>
}

/** Creates the metrics, including the default CPU and memory metrics of the process. */
export function createMetrics (): Metrics {
  const registry = new Registry()
  collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: 100 })
  const requestHistograms = new Map<string, Histogram>()
  const eventCounter = new Counter({
    name: 'fuchsiatally_events_total', help: 'Log events by number', labelNames: ['event'], registers: [registry]
  })
  const requestCounter = new Counter({
    name: 'fuchsiatally_requests_total', help: 'Requests by final outcome', labelNames: ['outcome'], registers: [registry]
  })
  const requestGauge = new Gauge({
    name: 'fuchsiatally_request_seconds',
    help: 'Time from arrival to the final outcome',
    labelNames: ['outcome', 'quantile'],
    registers: [registry],
    collect () {
      for (const [outcome, histogram] of requestHistograms) {
        for (const quantile of PERCENTILES) {
          requestGauge.set({ outcome, quantile: String(quantile / 100) }, histogram.getValueAtPercentile(quantile) / 1_000_000)
        }
      }
    }
  })

  const waitHistograms = new Map<string, Histogram>()
  const waitGauge = new Gauge({
    name: 'fuchsiatally_wait_seconds',
    help: 'Waits of jobs and calls by part',
    labelNames: ['part', 'quantile'],
    registers: [registry],
    collect () {
      for (const [part, histogram] of waitHistograms) {
        for (const quantile of PERCENTILES) waitGauge.set({ part, quantile: String(quantile / 100) }, histogram.getValueAtPercentile(quantile) / 1_000_000)
      }
    }
  })

  const recordLatency = (target: Map<string, Histogram>, label: string, elapsedMs: number): void => {
    let histogram = target.get(label)
    if (histogram === undefined) {
      histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
      target.set(label, histogram)
    }
    histogram.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, Math.round(elapsedMs * MICROSECONDS_PER_MS))))
  }

  return {
    countEvent: (event) => { eventCounter.inc({ event: event.id }) },
    recordRequest: (outcome, elapsedMs) => {
      requestCounter.inc({ outcome })
      recordLatency(requestHistograms, outcome, elapsedMs)
    },
    recordWait: (part, elapsedMs) => recordLatency(waitHistograms, part, elapsedMs),
    addGauge: (name, help, readValue) => {
      const gauge: Gauge = new Gauge({ name, help, registers: [registry], collect () { gauge.set(readValue()) } })
    },
    addTraffic: (listTraffic) => {
      const bytes: Gauge = new Gauge({
        name: 'fuchsiatally_traffic_bytes',
        help: 'Bytes since the start by kind of peer',
        labelNames: ['kind', 'direction'],
        registers: [registry],
        collect () {
          for (const { kind, sentBytes, receivedBytes } of listTraffic()) {
            bytes.set({ kind, direction: 'sent' }, sentBytes)
            bytes.set({ kind, direction: 'received' }, receivedBytes)
          }
        }
      })
    },
    render: () => registry.metrics(),
    dispose: () => { registry.clear() }
  }
}
