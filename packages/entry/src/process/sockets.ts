/** Sockets of the process, opened in a scope that closes them in reverse order. */
import * as Effect from 'effect/Effect'
import type * as Scope from 'effect/Scope'
import { parseAddress, type Clock, type Disposable, type EventLog, type Random, type ResolvedSettings } from '@fuchsiatally/core'
import { createHttpPlatformClient, type PlatformClient } from '@fuchsiatally/table'
import { createHttpServer, type HttpServer } from '../http/httpServer.js'
import { createPeerMesh, type HeartbeatContents, type LinkMesh } from '../link/peerMesh.js'
import type { EndpointClient, Peer, SessionView } from '../ports.js'
import { createHttpEndpointClient } from '../request/httpEndpointClient.js'

/** Options of the sockets, which are opened before the entry is created. */
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

/** Error of a listener that could not be opened. */
export class ListenError {
  readonly _tag = 'ListenError'

  /** @param option the setting with the address at fault */
  constructor (readonly option: 'linkAddress' | 'httpAddress', readonly reason: string) {}
}

/** Creates a resource that is disposed when the scope closes. */
export function addToScope<T extends Disposable> (create: () => T): Effect.Effect<T, never, Scope.Scope> {
  return Effect.acquireRelease(Effect.sync(create), (held) => Effect.sync(() => { held.dispose() }))
}

function openMesh (options: SocketsOptions): Effect.Effect<{ mesh: LinkMesh, linkAddress: string }, ListenError, Scope.Scope> {
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
    if (started.isErr()) return yield * Effect.fail(new ListenError('linkAddress', started.error.message))
    return { mesh, linkAddress: started.value }
  })
}

function openServer (options: SocketsOptions): Effect.Effect<HttpServer, ListenError, Scope.Scope> {
  const { limits, httpAddress } = options.settings
  const { host, port } = parseAddress(httpAddress)
  const open = Effect.tryPromise({
    try: () => createHttpServer({
      host,
      port,
      routes: [],
      log: options.events,
      maxConnections: limits.maxConnections,
      requestReadMs: limits.requestReadMs,
      maxBodyBytes: limits.maxBodyBytes
    }),
    catch: (error) => new ListenError('httpAddress', String(error))
  })
  return Effect.acquireRelease(open, (server) => Effect.promise(server.stop))
}

/** Opens all sockets; fails with the setting whose address could not be bound. */
export function openSockets (options: SocketsOptions): Effect.Effect<Sockets, ListenError, Scope.Scope> {
  const { clock, random, events } = options
  return Effect.gen(function * () {
    const platform = yield * addToScope(() => createHttpPlatformClient({ address: options.settings.platformAddress, clock, random, events }))
    const endpoints = yield * addToScope(() => createHttpEndpointClient({ clock }))
    const { mesh, linkAddress } = yield * openMesh(options)
    const server = yield * openServer(options)
    return { platform, endpoints, mesh, linkAddress, server }
  })
}
