/** Request handling of an entry: wires ingress routes, router, owner, forwarding, tickets and allotments together. */
import {
  createDisposableStore, startInterval,
  type Clock, type Disposable, type EventLog, type FreeSlots, type Heartbeat, type Random,
  type RequestOutcome
} from '@fuchsiatally/core'
import type { PlatformClient } from '@fuchsiatally/table'
import { createAllotmentManager, type AllotmentManager } from '../contract/allotmentManager.js'
import type { Route } from '../http/route.js'
import type { ConfigStore, EndpointClient, KeyRing, OwnedWorkers, Peer, PeerMesh, Sessions } from '../ports.js'
import { createForwarder } from './forwarder.js'
import { createForwardReceiver } from './forwardReceiver.js'
import { createEndpointOwner, type EndpointOwner } from './endpointOwner.js'
import { createRequestRoutes } from './requestRoutes.js'
import { createRequestRouter } from './requestRouter.js'
import { createTicketService } from './ticketService.js'

/** Interval at which the state of peers that are gone is dropped. */
const PEER_CHECK_INTERVAL_MS = 5000

/** Dependencies of the request service. */
export interface RequestServiceOptions {
  readonly clock: Clock
  readonly random: Random
  readonly mesh: PeerMesh
  readonly workers: OwnedWorkers
  readonly endpoints: EndpointClient
  readonly keyRing: KeyRing
  readonly config: ConfigStore
  readonly sessions: Sessions
  readonly platform: PlatformClient
  readonly log: EventLog
  /** Whether each worker that the incarnation owned has been taken over and fenced, or is gone. */
  readonly isFenced: (incarnation: string) => boolean
  /** Called with each final outcome and the time since the request arrived, in milliseconds. */
  readonly onOutcome?: (kind: RequestOutcome['kind'], elapsedMs: number) => void
}

/** Handles requests from callers and requests that peers forward to this entry's endpoints. */
export interface RequestService extends Disposable {
  readonly routes: readonly Route[]
  /** Free slots to announce in heartbeats; empty while draining. */
  listFreeSlots: () => FreeSlots[]
  /** Allotment demand to announce in heartbeats. */
  listAllotmentDemand: () => Heartbeat['allotmentDemand']
  /** Processes a peer's heartbeat. */
  recordHeartbeat: (peer: Peer, heartbeat: Heartbeat) => void
  /** Stops announcing free slots; resolves when no request is in flight and the allotments are returned. */
  drain: () => Promise<void>
  /** Number of requests from callers and peers in flight at this entry. */
  countOpen: () => number
}

export function createRequestService (options: RequestServiceOptions): RequestService {
  const { clock, random, mesh, sessions, log, config } = options
  const store = createDisposableStore()
  let draining = false
  let openCallerRequests = 0
  let drainWaiters: (() => void)[] = []

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
    onIncrease: () => owner.startQueuedRequests()
  }))
  const owner: EndpointOwner = store.add(createEndpointOwner({
    clock, random, workers: options.workers, endpoints: options.endpoints, config, allotments, log
  }))
  const forwarder = store.add(createForwarder({ clock, random, mesh, sessions, log }))
  const receiver = createForwardReceiver({ mesh, owner })
  const router = createRequestRouter({ clock, random, sessions, owner, forwarder, log, isDraining: () => draining })
  const tickets = createTicketService({ clock, random, mesh, sessions, forwarder, log, runRequest: router.runRequest })

  const countOpen = (): number => openCallerRequests + owner.countOpen() + tickets.countOpen()

  const checkDrained = (): void => {
    if (!draining || countOpen() > 0) return
    for (const resolve of drainWaiters.splice(0)) resolve()
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
      keyRing: options.keyRing,
      log,
      tickets,
      runRequest: router.runRequest,
      onOpenChange: (change) => { openCallerRequests += change },
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
      if (countOpen() > 0) await new Promise<void>((resolve) => { drainWaiters = [...drainWaiters, resolve] })
      await allotments.releaseAll()
    },
    countOpen,
    dispose: store.dispose
  }
}
