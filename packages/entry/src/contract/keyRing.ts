/** Authenticates callers by key or open team. An invalid key is refused alike for every reason, which only the log shows, so callers cannot probe for keys. */
import { listGrants, type ConfigDocument, type Disposable, type EventLog, type Team } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { KeyRefusal, KeyRing } from '../ports.js'
import type { ConfigStoreHandle } from './configStore.js'
import { keyRefused } from './events.js'
import { computeKeyHash, isSameHash, parseBearerToken, parseKeyId } from './key.js'

/** Dependencies of the key ring. */
export interface KeyRingOptions {
  readonly config: Pick<ConfigStoreHandle, 'readDocument' | 'onChange' | 'isFresh' | 'refresh' | 'isDenied'>
  /** SHA-256 of the operators' key, in hexadecimal. */
  readonly operatorKeySha256: string
  readonly log: EventLog
}

/** A key ring that tracks the configuration in force until it is disposed. */
export interface KeyRingHandle extends KeyRing, Disposable {}

interface RegisteredKey {
  readonly team: Team
  readonly hash: Buffer
}

/** Placeholder for an unknown key, so that checking it takes the same steps as for a known one. */
const UNKNOWN_KEY: RegisteredKey = {
  team: {
    name: '',
    share: 1,
    ceiling: { resources: { processors: 0, memoryMb: 0, accelerators: 0 }, requests: 0 },
    limits: { queuedRequests: 0, requestsPerS: 1, activeJobs: 0 },
    open: false,
    whenCut: 'refuse',
    keys: []
  },
  hash: Buffer.alloc(32)
}

/** Creates a key ring over the configuration in force. */
export function createKeyRing (options: KeyRingOptions): KeyRingHandle {
  const { config, log } = options
  const operatorHash = Buffer.from(options.operatorKeySha256, 'hex')
  let keysById = new Map<string, RegisteredKey>()
  let teams = new Map<string, Team>()

  const updateKeys = (document: ConfigDocument): void => {
    teams = new Map(document.manifest.teams.map((team) => [team.name, team]))
    keysById = new Map()
    for (const { team, grant } of listGrants(document)) {
      const owner = teams.get(team)
      if (owner !== undefined) keysById.set(grant.id, { team: owner, hash: Buffer.from(grant.sha256, 'hex') })
    }
  }
  const current = config.readDocument()
  if (current !== null) updateKeys(current)
  const subscription = config.onChange(updateKeys)

  const findOpenTeam = (authorization: string | undefined, name: string | undefined): Team | undefined => {
    if (authorization !== undefined || name === undefined) return undefined
    const team = teams.get(name)
    return team?.open === true ? team : undefined
  }

  /** Takes the same steps for every key and decides only after the last one, to avoid a timing side channel. */
  const checkKey = (key: string, team: string | undefined): Team | undefined => {
    const id = parseKeyId(key)
    const found = keysById.get(id) ?? UNKNOWN_KEY
    const matches = isSameHash(computeKeyHash(key), found.hash)
    const denied = config.isDenied(id)
    // A foreign key is one of another team than the caller named.
    const foreign = team !== undefined && team !== found.team.name
    const cause = [matches ? '' : 'unknown', denied ? 'revoked' : '', foreign ? 'foreign' : ''].filter((part) => part !== '')
    if (cause.length === 0) return found.team
    log.record(keyRefused, { cause: cause.join(','), keyId: found === UNKNOWN_KEY ? '' : id })
    return undefined
  }

  return {
    checkTeam: async (authorization, team): Promise<Result<Team, KeyRefusal>> => {
      const open = findOpenTeam(authorization, team)
      if (open !== undefined) return ok(open)
      if (!config.isFresh()) await config.refresh()
      if (config.readDocument() === null) return err('noConfiguration')
      const openAfterRefresh = findOpenTeam(authorization, team)
      if (openAfterRefresh !== undefined) return ok(openAfterRefresh)
      const owner = checkKey(parseBearerToken(authorization), team)
      if (owner === undefined) return err('unauthorized')
      if (owner.whenCut === 'refuse' && !config.isFresh()) return err('configurationStale')
      return ok(owner)
    },
    isOperator: (authorization) => isSameHash(computeKeyHash(parseBearerToken(authorization)), operatorHash),
    dispose: () => subscription.dispose()
  }
}
