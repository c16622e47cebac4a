/** All sockets of the process, opened in a scope that closes them in reverse order. */
import * as Effect from 'effect/Effect'
import type * as Scope from 'effect/Scope'
import { parseAddress, type Clock, type Disposable, type EventLog, type Random, type ResolvedSettings } from '@fuchsiatally/core'
import { createHttpPlatformClient, type PlatformClient } from '@fuchsiatally/table'
import { createHttpServer, type HttpServer } from '../http/httpServer.js'
import { createPeerMesh, type HeartbeatContents, type LinkMesh } from '../link/peerMesh.js'
import type { EndpointClient, Peer, SessionView } from '../ports.js'
import { createHttpEndpointClient } from '../request/httpEndpointClient.js'

/** What the sockets need before the entry exists. */
export interface SocketsOptions {
  readonly settings: ResolvedSettings
  readonly self: Peer
  readonly clock: Clock
  readonly random: Random
  readonly events: EventLog
  readonly listSessions: () => readonly SessionView[]
  readonly buildHeartbeat: () => HeartbeatContents
}

/** The opened sockets. */
export interface Sockets {
  readonly platform: PlatformClient
  readonly endpoints: EndpointClient
  readonly mesh: LinkMesh
  /** `host:port` of the link listener. */
  readonly linkAddress: string
  readonly server: HttpServer
}

/** A listener could not be opened. */
export class ListenFault {
  readonly _tag = 'ListenFault'

  /** @param option the setting to mend */
  constructor (readonly option: 'linkAddress' | 'httpAddress', readonly reason: string) {}
}

/** Acquires something that is disposed with the scope. */
export function addToScope<T extends Disposable> (create: () => T): Effect.Effect<T, never, Scope.Scope> {
  return Effect.acquireRelease(Effect.sync(create), (held) => Effect.sync(() => { held.dispose() }))
}

function openMesh (options: SocketsOptions): Effect.Effect<{ mesh: LinkMesh, linkAddress: string }, ListenFault, Scope.Scope> {
  const { settings } = options
  const { host, port } = parseAddress(settings.linkAddress)
  return Effect.gen(function * () {
    const mesh = yield * Effect.acquireRelease(
      Effect.sync(() => createPeerMesh({
        ...options,
        log: options.events,
        host,
        port,
        maxFrameBytes: settings.limits.maxFrameBytes,
        maxSendBufferBytes: settings.limits.maxLinkBufferBytes
      })),
      (held) => Effect.promise(held.stop)
    )
    const started = yield * Effect.promise(mesh.start)
    if (started.isErr()) return yield * Effect.fail(new ListenFault('linkAddress', started.error.message))
    return { mesh, linkAddress: started.value }
  })
}

function openServer (options: SocketsOptions): Effect.Effect<HttpServer, ListenFault, Scope.Scope> {
  const { limits, httpAddress } = options.settings
  const { host, port } = parseAddress(httpAddress)
  const open = Effect.tryPromise({
    try: () => createHttpServer({
      host,
      port,
      routes: [],
      events: options.events,
      maxConnections: limits.maxConnections,
      requestReadMs: limits.requestReadMs,
      maxBodyBytes: limits.maxBodyBytes
    }),
    catch: (error) => new ListenFault('httpAddress', String(error))
  })
  return Effect.acquireRelease(open, (server) => Effect.promise(server.stop))
}

/** Opens all sockets; fails with the setting whose address is not free. */
export function openSockets (options: SocketsOptions): Effect.Effect<Sockets, ListenFault, Scope.Scope> {
  const { clock, random, events } = options
  return Effect.gen(function * () {
    const platform = yield * addToScope(() => createHttpPlatformClient({ address: options.settings.platformAddress, clock, random, events }))
    const endpoints = yield * addToScope(() => createHttpEndpointClient({ clock }))
    const { mesh, linkAddress } = yield * openMesh(options)
    const server = yield * openServer(options)
    return { platform, endpoints, mesh, linkAddress, server }
  })
}
