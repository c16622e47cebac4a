/** The platform's VM list, read at a fixed interval. */
import { createDisposableStore, startInterval } from '@fuchsiatally/core'
import type { Clock, Disposable, EventLog, Random, Vm } from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import { createOutageLog } from '../failureDomain/outageLog.js'
import { vmListFailed, vmListRecovered } from './events.js'

/** Interval between two reads of the list, in milliseconds. */
export const VM_LIST_INTERVAL_MS = 1_000
const VM_LIST_JITTER = 0.1

/** Options of the directory. */
export interface VmDirectoryOptions {
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  /** Runs after each successful read. */
  readonly onRead: () => void
}

/** The last list read. */
export interface VmDirectory extends Disposable {
  /** Whether a list has been read. */
  isRead: () => boolean
  listVms: () => Iterable<Vm>
  /** The VM as it was listed last, also if it is not listed any longer. */
  getVm: (id: string) => Vm | undefined
  /** How long successful reads have not listed the VM, in milliseconds; 0 if it is listed. */
  readAbsenceMs: (id: string) => number
  sendRead: () => void
}

/** Creates the directory and starts reading. */
export function createVmDirectory (options: VmDirectoryOptions): VmDirectory {
  const { platform, clock, random, log } = options
  const store = createDisposableStore()
  const outage = createOutageLog({ log, clock, failed: vmListFailed, recovered: vmListRecovered })
  const vms = new Map<string, Vm>()
  const listed = new Set<string>()
  const lastListedMs = new Map<string, number>()
  let firstReadMs: number | null = null
  let lastReadMs = 0
  let inFlight = false
  let disposed = false

  const applyList = (list: readonly Vm[]): void => {
    const nowMs = clock.nowMs()
    firstReadMs ??= nowMs
    lastReadMs = nowMs
    listed.clear()
    for (const vm of list) {
      listed.add(vm.id)
      vms.set(vm.id, vm)
      lastListedMs.set(vm.id, nowMs)
    }
  }
  const readList = async (): Promise<void> => {
    const answer = await platform.listVms()
    if (disposed) return
    if (answer.isErr()) {
      outage.recordFailure({ kind: answer.error.kind, message: answer.error.message })
      return
    }
    outage.recordSuccess()
    applyList(answer.value.vms)
    options.onRead()
  }
  const sendRead = (): void => {
    if (inFlight || disposed) return
    inFlight = true
    readList().finally(() => {
      inFlight = false
    })
  }
  store.add(startInterval(clock, random, VM_LIST_INTERVAL_MS, VM_LIST_JITTER, sendRead))
  return {
    isRead: () => firstReadMs !== null,
    listVms: function * () {
      for (const id of listed) yield vms.get(id)!
    },
    getVm: (id) => vms.get(id),
    readAbsenceMs: (id) => {
      if (firstReadMs === null || listed.has(id)) return 0
      return lastReadMs - (lastListedMs.get(id) ?? firstReadMs)
    },
    sendRead,
    dispose: () => {
      disposed = true
      store.dispose()
    }
  }
}
