/** Requests from caller to endpoint and back: joins ingress, router, owner, tickets and ceilings. */
import {
  createDisposableStore, startInterval,
  type Clock, type Disposable, type EventLog, type FreeSlots, type Heartbeat, type Random,
  type RequestOutcome
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import { createAllotmentManager, type AllotmentManager } from '../contract/allotmentTask.js'
import type { Route } from '../http/route.js'
import type { ConfigStore, EndpointClient, KeyRing, OwnedWorkers, Peer, PeerMesh, Sessions } from '../ports.js'
import { createForwarder } from './forwarder.js'
import { createForwardReceiver } from './forwardReceiver.js'
import { createOwner, type Owner } from './owner.js'
import { createRequestRoutes } from './requestRoutes.js'
import { createRouter } from './router.js'
import { createTicketDesk } from './ticketDesk.js'

/** How often what is kept for peers that are gone is dropped, in milliseconds. */
const PEER_CHECK_INTERVAL_MS = 5000

/** What the service needs. */
export interface RequestServiceOptions {
  readonly clock: Clock
  readonly random: Random
  readonly mesh: PeerMesh
  readonly workers: OwnedWorkers
  readonly endpoints: EndpointClient
  readonly keys: KeyRing
  readonly config: ConfigStore
  readonly sessions: Sessions
  readonly platform: PlatformClient
  readonly log: EventLog
  /** Whether every worker that the incarnation owned was taken over and fenced, or is gone. */
  readonly isFenced: (incarnation: string) => boolean
  /** Called with each final outcome and the time since the request arrived, in milliseconds. Default: nothing. */
  readonly onOutcome?: (kind: RequestOutcome['kind'], elapsedMs: number) => void
}

/** Requests of callers at this entry, and of peers for its endpoints. */
export interface RequestService extends Disposable {
  readonly routes: readonly Route[]
  /** For the heartbeat; empty while draining. */
  listFreeSlots: () => FreeSlots[]
  /** For the heartbeat. */
  listAllotmentDemand: () => Heartbeat['allotmentDemand']
  /** To be called with each heartbeat of a peer. */
  recordHeartbeat: (peer: Peer, heartbeat: Heartbeat) => void
  /** Announces no free slots any more; resolves when nothing is in flight and the allotments are given up. */
  drain: () => Promise<void>
  /** Requests of callers and peers in flight here. */
  countOpen: () => number
}

/** Starts the service. */
export function createRequestService (options: RequestServiceOptions): RequestService {
  const { clock, random, mesh, sessions, log, config } = options
  const store = createDisposableStore()
  let draining = false
  let callersOpen = 0
  let drained: (() => void)[] = []

  const allotments: AllotmentManager = store.add(createAllotmentManager({
    clock,
    random,
    platform: options.platform,
    sessions,
    config,
    log,
    isFenced: options.isFenced,
    countStarved: (team) => owner.countStarved(team),
    hasEndpoints: () => owner.hasEndpoints(),
    onIncrease: () => owner.startWaiting()
  }))
  const owner: Owner = store.add(createOwner({
    clock, random, workers: options.workers, endpoints: options.endpoints, config, allotments, log
  }))
  const forwarder = store.add(createForwarder({ clock, random, mesh, sessions, log }))
  const receiver = createForwardReceiver({ mesh, owner })
  const router = createRouter({ clock, random, sessions, owner, forwarder, log, isDraining: () => draining })
  const tickets = createTicketDesk({ clock, random, mesh, sessions, forwarder, log, runRequest: router.runRequest })

  const countOpen = (): number => callersOpen + owner.countOpen() + tickets.countOpen()

  const checkDrained = (): void => {
    if (!draining || countOpen() > 0) return
    for (const resolve of drained.splice(0)) resolve()
  }

  const removeGonePeers = (): void => {
    const linked = new Set(mesh.listPeers().map((peer) => peer.incarnation))
    for (const incarnation of receiver.listPeers()) {
      if (linked.has(incarnation) || !sessions.isGone(incarnation)) continue
      receiver.removePeer(incarnation)
      router.removePeer(incarnation)
    }
  }

  mesh.onPeerChange((peer, change) => {
    if (change === 'down') router.removePeer(peer.incarnation)
  })
  store.add(startInterval(clock, random, PEER_CHECK_INTERVAL_MS, 0.2, removeGonePeers))
  store.add(startInterval(clock, random, 50, 0, checkDrained))

  return {
    routes: createRequestRoutes({
      clock,
      random,
      config,
      keys: options.keys,
      log,
      tickets,
      runRequest: router.runRequest,
      onOpenChange: (change) => { callersOpen += change },
      onOutcome: options.onOutcome ?? (() => {})
    }),
    listFreeSlots: () => draining ? [] : owner.listFreeSlots(),
    listAllotmentDemand: allotments.listDemand,
    recordHeartbeat: (peer, heartbeat) => {
      router.recordHeartbeat(peer, heartbeat)
      allotments.recordDemand(peer.incarnation, heartbeat.allotmentDemand)
    },
    drain: async () => {
      draining = true
      if (countOpen() > 0) await new Promise<void>((resolve) => { drained = [...drained, resolve] })
      await allotments.releaseAll()
    },
    countOpen,
    dispose: store.dispose
  }
}
