/** Fault-injecting relays on the connections of a cluster's entries to the platform, to workers and to each other. */
import type { Vm } from '@fuchsiatally/core'
import { type Relay, startRelay } from './relay.js'

/** Relays of one cluster. */
export interface ClusterRelays {
  /** To the platform: one per entry, by index. */
  readonly platform: readonly Relay[]
  /** To the entries' link listeners, by entry index. */
  readonly links: Map<number, Relay>
  /** To a worker's lease endpoint, by worker id. */
  readonly workers: ReadonlyMap<string, Relay>
  /** To a worker's runners, by worker id. */
  readonly runners: ReadonlyMap<string, readonly Relay[]>
  readonly stop: () => Promise<void>
}

/** Starts relays to the platform and the workers; relays to link listeners are added as entries start. */
export async function startClusterRelays (
  platformAddress: string, entryCount: number, vms: readonly Vm[]
): Promise<{ readonly relays: ClusterRelays, readonly vms: Vm[] }> {
  const platform = await Promise.all(Array.from({ length: entryCount }, () => startRelay(platformAddress)))
  const links = new Map<number, Relay>()
  const workers = new Map<string, Relay>()
  const runners = new Map<string, Relay[]>()
  const relayedVms: Vm[] = []
  for (const vm of vms) {
    const workerRelay = await startRelay(vm.address)
    const runnerRelays = await Promise.all(vm.runners.map((runner) => startRelay(runner.address)))
    workers.set(vm.id, workerRelay)
    runners.set(vm.id, runnerRelays)
    const relayedRunners = vm.runners.map((runner, index) => ({ ...runner, address: runnerRelays[index]!.address }))
    relayedVms.push({ ...vm, address: workerRelay.address, runners: relayedRunners })
  }
  const stop = async (): Promise<void> => {
    const all = [...platform, ...links.values(), ...workers.values(), ...[...runners.values()].flat()]
    await Promise.all(all.map((relay) => relay.stop()))
  }
  return { relays: { platform, links, workers, runners, stop }, vms: relayedVms }
}
