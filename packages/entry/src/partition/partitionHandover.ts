/** Planned hand-over of this entry's partitions to larger entries that are idle, such as those that restarted after a power loss. */
import type { Clock, Disposable } from '@fuchsiatally/core'
import type { Peer } from '../ports.js'
import { createSerialLoop } from '../process/serialLoop.js'
import { HANDOVER_CHECK_INTERVAL_MS, MIN_HANDOVER_CAPACITY_RATIO, MIN_PEER_UPTIME_MS } from './constants.js'
import type { PartitionWatch } from './partitionWatch.js'
import { computeCapacityClass, sortByRank } from './rendezvousRank.js'

export interface PartitionHandoverOptions {
  /** Processor capacity of this entry, in cores. */
  readonly cores: number
  readonly clock: Clock
  /** Shortest term that ends with a hand-over, in milliseconds. */
  readonly minTermMs: number
  readonly partitions: Pick<PartitionWatch, 'countPartitionsOf' | 'hasFailedRecently' | 'readCores' | 'readTermAgeMs' | 'readUptimeMs'>
  /** Peers with a live link that are not leaving. */
  readonly listPeers: () => readonly Peer[]
  readonly listHeld: () => readonly string[]
  /** Whether a hand-over would succeed at present. */
  readonly mayHandOver: () => boolean
  readonly releasePartition: (partition: string, successor: Peer) => Promise<void>
}

/** Starts the reviews; at most one partition is handed over at a time. */
export function createPartitionHandover (options: PartitionHandoverOptions): Disposable {
  const { clock, partitions } = options

  /** A larger class alone would not do: two capacities on either side of its bound may be nearly equal. */
  const isLargerAndIdle = (peer: Peer): boolean => {
    return !partitions.hasFailedRecently(peer.incarnation) && partitions.readCores(peer.entry) >= MIN_HANDOVER_CAPACITY_RATIO * options.cores &&
      partitions.countPartitionsOf(peer.incarnation) === 0 && partitions.readUptimeMs(peer.incarnation) >= MIN_PEER_UPTIME_MS
  }

  /** Chooses a peer of the largest class; by rendezvous hashing among equals, so that the holders of two partitions rarely choose the same one. */
  const chooseSuccessor = (partition: string): Peer | null => {
    const readClass = (peer: Peer): number => computeCapacityClass(partitions.readCores(peer.entry))
    return sortByRank(partition, options.listPeers().filter(isLargerAndIdle)).sort((a, b) => readClass(b) - readClass(a))[0] ?? null
  }

  return createSerialLoop({
    clock,
    readPauseMs: () => HANDOVER_CHECK_INTERVAL_MS,
    runStep: async () => {
      if (!options.mayHandOver()) return
      for (const partition of options.listHeld()) {
        if (partitions.readTermAgeMs(partition) < options.minTermMs) continue
        const successor = chooseSuccessor(partition)
        if (successor === null) continue
        await options.releasePartition(partition, successor)
        return
      }
    }
  })
}
