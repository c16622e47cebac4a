/** Scrapes the metrics of entry processes and computes rates between two snapshots. */

/** Values from one scrape of an entry's `/metrics`. */
export interface EntrySnapshot {
  readonly atMs: number
  readonly cpuSeconds: number
  readonly residentBytes: number
  /** Bytes sent and received, by kind of peer. */
  readonly trafficBytes: ReadonlyMap<string, number>
}

/** Rates of one entry between two snapshots. */
export interface EntryRates {
  /** CPU time as a fraction of one core. */
  readonly cpuPart: number
  readonly residentMb: number
  /** Control traffic: bytes per second, sent plus received, exchanged with platform, workers and peer entries. */
  readonly controlBytesPerS: number
  readonly platformBytesPerS: number
  readonly workerBytesPerS: number
  readonly linkBytesPerS: number
}

const BYTES_PER_MB = 1024 * 1024
const MS_PER_S = 1000
const TRAFFIC_SAMPLE = /^fuchsiatally_traffic_bytes\{kind="(\w+)",direction="\w+"\} (\S+)$/gm

function findSample (text: string, name: string): number {
  const match = new RegExp(`^${name} (\\S+)$`, 'm').exec(text)
  return match === null ? 0 : Number(match[1])
}

/** Scrapes an entry's metrics. */
export async function readEntrySnapshot (address: string): Promise<EntrySnapshot> {
  const text = await (await fetch(`http://${address}/metrics`)).text()
  const traffic = new Map<string, number>()
  for (const [, kind, bytes] of text.matchAll(TRAFFIC_SAMPLE)) traffic.set(kind!, (traffic.get(kind!) ?? 0) + Number(bytes))
  return {
    atMs: performance.now(),
    cpuSeconds: findSample(text, 'process_cpu_seconds_total'),
    residentBytes: findSample(text, 'process_resident_memory_bytes'),
    trafficBytes: traffic
  }
}

/** Computes the rates between two snapshots of one entry. */
export function computeRates (before: EntrySnapshot, after: EntrySnapshot): EntryRates {
  const seconds = (after.atMs - before.atMs) / MS_PER_S
  const computeByteRate = (kind: string): number => ((after.trafficBytes.get(kind) ?? 0) - (before.trafficBytes.get(kind) ?? 0)) / seconds
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

/** Computes the median (the upper one of an even count); 0 for an empty list. */
export function computeMedian (values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}
