/** Cache of the platform's VM list, which is polled at a fixed interval with jitter. */
import { createDisposableStore, startInterval } from '@fuchsiatally/core'
import type { Clock, Disposable, EventLog, Random, Vm } from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import { createOutageLog } from '../failureDomain/outageLog.js'
import { vmListFailed, vmListRecovered } from './events.js'

/** Interval between two reads of the list, in milliseconds. */
export const VM_LIST_INTERVAL_MS = 1_000
const VM_LIST_JITTER = 0.1

/** Options of the VM directory. */
export interface VmDirectoryOptions {
  readonly platform: PlatformClient
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  /** Called after each successful read. */
  readonly onRead: () => void
}

/** The VM list as of the last successful read. */
export interface VmDirectory extends Disposable {
  /** Whether a list has been read. */
  isRead: () => boolean
  listVms: () => Iterable<Vm>
  /** Returns the VM as last listed, even if it is no longer listed. */
  getVm: (id: string) => Vm | undefined
  /** Returns the time from the last read that listed the VM, or else from the first read, to the last read, in milliseconds; 0 if it is listed. */
  readAbsenceMs: (id: string) => number
  startRead: () => void
}

/** Creates the directory and starts polling. */
export function createVmDirectory (options: VmDirectoryOptions): VmDirectory {
  const { platform, clock, random, log } = options
  const disposables = createDisposableStore()
  const outageLog = createOutageLog({ log, clock, failed: vmListFailed, recovered: vmListRecovered })
  const vms = new Map<string, Vm>()
  const listed = new Set<string>()
  const lastListedMs = new Map<string, number>()
  let firstReadMs: number | null = null
  let lastReadMs = 0
  let readInFlight = false
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
    const response = await platform.listVms()
    if (disposed) return
    if (response.isErr()) {
      outageLog.recordFailure({ kind: response.error.kind, message: response.error.message })
      return
    }
    outageLog.recordSuccess()
    applyList(response.value.vms)
    options.onRead()
  }
  const startRead = (): void => {
    if (readInFlight || disposed) return
    readInFlight = true
    readList().finally(() => {
      readInFlight = false
    })
  }
  disposables.add(startInterval(clock, random, VM_LIST_INTERVAL_MS, VM_LIST_JITTER, startRead))
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
    startRead,
    dispose: () => {
      disposed = true
      disposables.dispose()
    }
  }
}
