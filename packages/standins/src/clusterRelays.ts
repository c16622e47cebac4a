/** Relays between the entries of a cluster and everything that they connect to. */
import type { Vm } from '@fuchsiatally/core'
import { type Relay, startRelay } from './relay.js'

/** Relays of one cluster. */
export interface ClusterRelays {
  /** To the platform, one for each entry by position. */
  readonly platform: readonly Relay[]
  /** To the entries' link listeners, by position. */
  readonly links: Map<number, Relay>
  /** To a worker's lease interface, by its id. */
  readonly workers: ReadonlyMap<string, Relay>
  /** To a worker's runners, by its id. */
  readonly runners: ReadonlyMap<string, readonly Relay[]>
  readonly stop: () => Promise<void>
}

/** Starts relays to the platform and the workers; relays to links are added as entries start. */
export async function startClusterRelays (
  platformAddress: string, entryCount: number, vms: readonly Vm[]
): Promise<{ readonly relays: ClusterRelays, readonly vms: Vm[] }> {
  const platform = await Promise.all(Array.from({ length: entryCount }, () => startRelay(platformAddress)))
  const links = new Map<number, Relay>()
  const workers = new Map<string, Relay>()
  const runners = new Map<string, Relay[]>()
  const shown: Vm[] = []
  for (const vm of vms) {
    const worker = await startRelay(vm.address)
    const own = await Promise.all(vm.runners.map((runner) => startRelay(runner.address)))
    workers.set(vm.id, worker)
    runners.set(vm.id, own)
    const relayed = vm.runners.map((runner, index) => ({ ...runner, address: own[index]!.address }))
    shown.push({ ...vm, address: worker.address, runners: relayed })
  }
  const stop = async (): Promise<void> => {
    const all = [...platform, ...links.values(), ...workers.values(), ...[...runners.values()].flat()]
    await Promise.all(all.map((relay) => relay.stop()))
  }
  return { relays: { platform, links, workers, runners, stop }, vms: shown }
}
