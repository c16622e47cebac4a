/** Cluster of configuration stores and key rings, one of each per entry, over fakes; tests can pause, restart and partition the entries. */
import { createHash } from 'node:crypto'
import type { ConfigDocument, Manifest, Team } from '@fuchsiatally/core'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import type { PlatformClient } from '@fuchsiatally/table'
import { createFakePlatform } from '@fuchsiatally/table/testing/fakePlatform'
import { createPlatformFaults } from '@fuchsiatally/table/testing/platformFaults'
import { createTableModel } from '@fuchsiatally/table/testing/tableModel'
import { createFakeMesh } from '../../testing/fakeMesh.js'
import { createConfigStore } from '../configStore.js'
import { createKeyRing } from '../keyRing.js'

const HEARTBEAT_MS = 500
/** Time limit of a platform call, as in the HTTP client. */
const PLATFORM_TIMEOUT_MS = 2500
export const OPERATOR_KEY = 'ft_operator_test'

/** Runs the callbacks of one simulated process, and queues them while the process is paused. */
function createPausableExecutor () {
  let paused = false
  const waiting: Array<() => void> = []
  return {
    run: (action: () => void) => { if (paused) waiting.push(action); else action() },
    isPaused: () => paused,
    pause: () => { paused = true },
    resume: () => {
      paused = false
      for (const action of waiting.splice(0)) action()
    }
  }
}

export function createTeam (name: string, whenCut: Team['whenCut'], share = 1): Team {
  const resources = { processors: 10, memoryMb: 1024, accelerators: 0 }
  const limits = { queuedRequests: 10, requestsPerS: 100, activeJobs: 10 }
  return { name, share, ceiling: { resources, requests: 5 }, limits, open: false, whenCut, keys: [] }
}

export function createManifest (share = 1): Manifest {
  const open = { ...createTeam('walkins', 'serve'), open: true }
  return {
    cell: 'test',
    shareWindow: { endMinuteOfDay: 360, lengthMinutes: 600 },
    teams: [createTeam('covers', 'refuse', share), createTeam('pages', 'serve', share), open],
    services: []
  }
}

export function createConfigCluster (size: number, seed: number) {
  const clock = createFakeClock()
  const model = createTableModel()
  const mesh = createFakeMesh({ clock })
  const sharedFaults = createPlatformFaults()
  const log = createMemoryEventLog()
  let incarnations = 0

  const startEntry = (entry: string) => {
    incarnations += 1
    const incarnation = `${entry}-${incarnations}`
    const executor = createPausableExecutor()
    const random = createSeededRandom(seed + incarnations)
    const pausableClock: typeof clock = { ...clock, setTimer: (delayMs, action) => clock.setTimer(delayMs, () => executor.run(action)) }
    const links = mesh.addEntry({ entry, incarnation, failureDomain: 'a' })
    const pausableLinks: typeof links = {
      ...links,
      onMessage: (type, receive) => links.onMessage(type, (message, from) => executor.run(() => receive(message, from)))
    }
    const fake = createFakePlatform({ model, clock, random, sharedFaults, timeoutMs: PLATFORM_TIMEOUT_MS })
    const waitWhilePaused = async <T> (answer: Promise<T>): Promise<T> => {
      const value = await answer
      await new Promise<void>((resolve) => executor.run(resolve))
      return value
    }
    const platform: PlatformClient = {
      ...fake,
      read: (query) => waitWhilePaused(fake.read(query)),
      transact: (transaction) => waitWhilePaused(fake.transact(transaction))
    }
    const store = createConfigStore({ clock: pausableClock, random, platform, mesh: pausableLinks, log })
    const operatorKeySha256 = createHash('sha256').update(OPERATOR_KEY).digest('hex')
    const keyRing = createKeyRing({ config: store, operatorKeySha256, log })
    const installedDocuments: ConfigDocument[] = []
    store.onChange((document) => installedDocuments.push(document))
    pausableLinks.onMessage('heartbeat', (message, from) => store.handleHeartbeat(from, message.configVersion, message.deniedKeyIds))
    const sendHeartbeat = (): void => {
      pausableClock.setTimer(HEARTBEAT_MS, sendHeartbeat)
      links.broadcastMessage({
        type: 'heartbeat',
        sequence: 0,
        leaving: false,
        slots: [],
        configVersion: store.readVersion(),
        deniedKeyIds: store.listDeniedKeyIds(),
        allotmentDemand: []
      })
    }
    sendHeartbeat()
    const stop = (): void => {
      // A stopped process never runs again: its executor stays paused.
      executor.pause()
      store.dispose()
      links.dispose()
    }
    return { entry, incarnation, executor, store, keyRing, installedDocuments, faults: fake.faults, random, stop }
  }

  const entries = Array.from({ length: size }, (_, index) => startEntry(`e${index}`))
  return {
    clock,
    model,
    mesh,
    sharedFaults,
    log,
    entries,
    restart: (index: number) => {
      const old = entries[index]!
      old.stop()
      entries[index] = startEntry(old.entry)
    }
  }
}

export type ConfigCluster = ReturnType<typeof createConfigCluster>
