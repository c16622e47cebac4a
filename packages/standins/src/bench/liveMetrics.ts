/** Reads the metrics of entry processes and turns two readings into rates. */

/** One reading of an entry's `/metrics`. */
export interface EntryReading {
  readonly atMs: number
  readonly cpuSeconds: number
  readonly residentBytes: number
  /** Bytes sent and received by kind of peer. */
  readonly traffic: ReadonlyMap<string, number>
}

/** Rates of one entry between two readings. */
export interface EntryRates {
  /** Part of one core. */
  readonly cpuPart: number
  readonly residentMb: number
  /** Bytes a second, sent and received together, to platform, workers and peers: what control costs. */
  readonly controlBytesPerS: number
  readonly platformBytesPerS: number
  readonly workerBytesPerS: number
  readonly linkBytesPerS: number
}

const BYTES_PER_MB = 1024 * 1024
const MS_PER_S = 1000
const TRAFFIC_LINE = /^fuchsiatally_traffic_bytes\{kind="(\w+)",direction="\w+"\} (\S+)$/gm

function findValue (text: string, name: string): number {
  const match = new RegExp(`^${name} (\\S+)$`, 'm').exec(text)
  return match === null ? 0 : Number(match[1])
}

/** Reads an entry's metrics. */
export async function readEntry (address: string): Promise<EntryReading> {
  const text = await (await fetch(`http://${address}/metrics`)).text()
  const traffic = new Map<string, number>()
  for (const [, kind, bytes] of text.matchAll(TRAFFIC_LINE)) traffic.set(kind!, (traffic.get(kind!) ?? 0) + Number(bytes))
  return {
    atMs: performance.now(),
    cpuSeconds: findValue(text, 'process_cpu_seconds_total'),
    residentBytes: findValue(text, 'process_resident_memory_bytes'),
    traffic
  }
}

/** Computes the rates between two readings of one entry. */
export function computeRates (before: EntryReading, after: EntryReading): EntryRates {
  const seconds = (after.atMs - before.atMs) / MS_PER_S
  const computeByteRate = (kind: string): number => ((after.traffic.get(kind) ?? 0) - (before.traffic.get(kind) ?? 0)) / seconds
  const [platform, worker, link] = [computeByteRate('platform'), computeByteRate('worker'), computeByteRate('link')]
  return {
    cpuPart: (after.cpuSeconds - before.cpuSeconds) / seconds,
    residentMb: after.residentBytes / BYTES_PER_MB,
    controlBytesPerS: platform + worker + link,
    platformBytesPerS: platform,
    workerBytesPerS: worker,
    linkBytesPerS: link
  }
}

/** The median of some numbers; 0 of none. */
export function computeMedian (values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}
