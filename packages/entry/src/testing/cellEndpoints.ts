/** Runners on a cell's workers: they are subject to the link faults of their VM and are lost with it. */
import type { Clock } from '@fuchsiatally/core'
import type { EndpointClient, ExchangeResult } from '../ports.js'
import { createFakeEndpoints, type FakeEndpoints } from './fakeEndpoints.js'
import type { WorkerLinkFaults } from './fakeWorkerClient.js'

export interface CellEndpointsOptions {
  readonly clock: Clock
  /** Lost VMs; changes while the cell runs. */
  readonly lostWorkers: ReadonlySet<string>
}

/** Runners of a cell. */
export interface CellEndpoints {
  readonly fakes: FakeEndpoints
  /** Creates the endpoint client of one process, with its link faults by worker. */
  createClient: (linkFaults: ReadonlyMap<string, WorkerLinkFaults>) => EndpointClient
}

/** Creates runners at the addresses `<worker>:1`. */
export function createCellEndpoints (options: CellEndpointsOptions): CellEndpoints {
  const { clock, lostWorkers } = options
  const fakes = createFakeEndpoints(clock)

  const wait = (ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

  const createClient = (linkFaults: ReadonlyMap<string, WorkerLinkFaults>): EndpointClient => {
    const client = fakes.createClient()
    const sendExchange: EndpointClient['sendExchange'] = async (address, request, timeoutMs, ...limits) => {
      const worker = address.split(':')[0]!
      const faults = linkFaults.get(worker)!
      const startedMs = clock.nowMs()
      const broken: ExchangeResult = { kind: 'broken', reason: 'connection lost' }
      if (lostWorkers.has(worker) || faults.unreachable) return { kind: 'refused', reason: 'connection refused' }
      if (faults.silent) {
        await wait(timeoutMs)
        return broken
      }
      const result = await client.sendExchange(address, request, timeoutMs, ...limits)
      if (lostWorkers.has(worker) || faults.unreachable) return broken
      if (!faults.silent) return result
      await wait(Math.max(0, startedMs + timeoutMs - clock.nowMs()))
      return broken
    }
    return { sendExchange, dispose: client.dispose }
  }
  return { fakes, createClient }
}
