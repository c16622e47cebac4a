/** Decides for whom work is accepted. Refused keys are told apart in the log alone. */
import { listGrants, type ConfigDocument, type Disposable, type EventLog, type Team } from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { KeyRefusal, KeyRing } from '../ports.js'
import type { ConfigStoreHandle } from './configStore.js'
import { keyRefused } from './events.js'
import { computeKeyHash, isSameHash, readBearer, readKeyId } from './key.js'

/** What the key ring needs. */
export interface KeyRingOptions {
  readonly config: Pick<ConfigStoreHandle, 'readDocument' | 'onChange' | 'isFresh' | 'refresh' | 'isDenied'>
  /** SHA-256 of the operators' key, in hexadecimal. */
  readonly operatorKeySha256: string
  readonly log: EventLog
}

/** A key ring that follows the configuration until disposed. */
export interface KeyRingHandle extends KeyRing, Disposable {}

interface HeldKey {
  readonly team: Team
  readonly hash: Buffer
}

/** Stands for an unknown key, so that the same work is done for it. */
const NO_KEY: HeldKey = {
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
  let held = new Map<string, HeldKey>()
  let teams = new Map<string, Team>()

  const updateKeys = (document: ConfigDocument): void => {
    teams = new Map(document.manifest.teams.map((team) => [team.name, team]))
    held = new Map()
    for (const { team, grant } of listGrants(document)) {
      const holder = teams.get(team)
      if (holder !== undefined) held.set(grant.id, { team: holder, hash: Buffer.from(grant.sha256, 'hex') })
    }
  }
  const current = config.readDocument()
  if (current !== null) updateKeys(current)
  const following = config.onChange(updateKeys)

  const findOpenTeam = (authorization: string | undefined, name: string | undefined): Team | undefined => {
    if (authorization !== undefined || name === undefined) return undefined
    const team = teams.get(name)
    return team?.open === true ? team : undefined
  }

  /** The same steps are taken for every key; nothing is decided before the last one. */
  const checkKey = (key: string, team: string | undefined): Team | undefined => {
    const id = readKeyId(key)
    const found = held.get(id) ?? NO_KEY
    const matches = isSameHash(computeKeyHash(key), found.hash)
    const denied = config.isDenied(id)
    const foreign = team !== undefined && team !== found.team.name
    const cause = [matches ? '' : 'unknown', denied ? 'revoked' : '', foreign ? 'foreign' : ''].filter((part) => part !== '')
    if (cause.length === 0) return found.team
    log.record(keyRefused, { cause: cause.join(','), keyId: found === NO_KEY ? '' : id })
    return undefined
  }

  return {
    checkTeam: async (authorization, team): Promise<Result<Team, KeyRefusal>> => {
      const open = findOpenTeam(authorization, team)
      if (open !== undefined) return ok(open)
      if (!config.isFresh()) await config.refresh()
      if (config.readDocument() === null) return err('noConfiguration')
      const opened = findOpenTeam(authorization, team)
      if (opened !== undefined) return ok(opened)
      const holder = checkKey(readBearer(authorization), team)
      if (holder === undefined) return err('unauthorized')
      if (holder.whenCut === 'refuse' && !config.isFresh()) return err('configurationStale')
      return ok(holder)
    },
    isOperator: (authorization) => isSameHash(computeKeyHash(readBearer(authorization)), operatorHash),
    dispose: () => following.dispose()
  }
}
