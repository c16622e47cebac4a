/** Property test of configuration and keys at several entries under concurrent operators, outages, network partitions, pauses and restarts. */
import fc from 'fast-check'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ConfigDocument } from '@fuchsiatally/core'
import { createKey } from '../key.js'
import { createConfigCluster, createManifest, type ConfigCluster } from './configCluster.js'

const ENTRIES = 4
const PROPAGATION_LIMIT_MS = 6000
const REVOCATION_LIMIT_MS = 5000
const CHECK_WAIT_MS = 700
/** Time after which no read returns an outdated state. */
const STALE_READ_LIMIT_MS = 10_000
const RUNS = 200
const SEED = 20260105

const entryIndex = fc.nat(ENTRIES - 1)
const isOn = fc.oneof({ weight: 2, arbitrary: fc.constant(true) }, { weight: 1, arbitrary: fc.constant(false) })
const rate = fc.constantFrom(0, 0.5)
const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.constantFrom(1, 50, 400, 1500, 4500, 6500) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('revoke' as const), at: entryIndex, key: fc.nat(20) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('outage' as const), on: isOn }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('pause' as const), at: entryIndex, on: isOn }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cutPlatform' as const), at: entryIndex, how: fc.constantFrom('outage' as const, 'silent' as const), on: isOn }) },
  fc.record({ kind: fc.constant('apply' as const), at: entryIndex, other: entryIndex, share: fc.integer({ min: 1, max: 9 }) }),
  fc.record({ kind: fc.constant('grant' as const), at: entryIndex, team: fc.constantFrom('covers', 'pages') }),
  fc.record({ kind: fc.constant('raceKey' as const), at: entryIndex, other: entryIndex, team: fc.constantFrom('covers', 'pages') }),
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('cutDomain' as const), members: fc.subarray([0, 1, 2, 3], { minLength: 1, maxLength: 2 }), on: isOn }) },
  fc.record({ kind: fc.constant('cutLink' as const), at: entryIndex, other: entryIndex, on: isOn }),
  fc.record({ kind: fc.constant('restart' as const), at: entryIndex }),
  fc.record({ kind: fc.constant('slow' as const), delayMs: fc.constantFrom(0, 100, 400) }),
  fc.record({ kind: fc.constant('lostAnswers' as const), rate }),
  fc.record({ kind: fc.constant('staleReads' as const), rate })
)
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

interface GrantedKey {
  readonly id: string
  readonly key: string
  readonly team: string
  /** Time of the response to its revocation, and whether the revocation was committed by then. */
  revokedAtMs?: number
  durable?: boolean
}

/** Runs steps and checks the state of the entries against the responses that operators received. */
function createSimulation (seed: number) {
  const cluster = createConfigCluster(ENTRIES, seed)
  const { clock, mesh, sharedFaults } = cluster
  const keys: GrantedKey[] = []
  const contentByVersion = new Map<number, string>()
  const accepted: Array<{ version: number, atMs: number }> = []
  /** Time since which each entry has had a platform that is reachable, consistent and without delay. */
  const reachableSinceMs: number[] = Array.from({ length: ENTRIES }, () => clock.nowMs())
  /** Time since which all links have been up and no entry was paused or restarted, plus 4 s after such a fault. */
  let linkedSinceMs = clock.nowMs()
  let lastStaleReadMs = -Infinity
  const cuts = new Set<string>()

  const isHealthy = (index: number): boolean => {
    const { executor, faults } = cluster.entries[index]!
    return !executor.isPaused() && !faults.outage && !faults.silent && !sharedFaults.outage &&
      sharedFaults.delayMs === 0 && sharedFaults.staleReadRate === 0
  }
  const updateReachability = (): void => {
    for (const index of reachableSinceMs.keys()) if (!isHealthy(index)) reachableSinceMs[index] = Infinity
    for (const [index, since] of reachableSinceMs.entries()) if (since === Infinity && isHealthy(index)) reachableSinceMs[index] = clock.nowMs()
    const linked = cuts.size === 0 && cluster.entries.every((entry) => !entry.executor.isPaused())
    if (!linked) linkedSinceMs = Infinity
    else if (linkedSinceMs === Infinity) linkedSinceMs = clock.nowMs() + 4000
  }

  const recordAccepted = (document: ConfigDocument): void => {
    accepted.push({ version: document.version, atMs: clock.nowMs() })
  }

  const revoke = async (at: number, key: GrantedKey): Promise<void> => {
    const { store } = cluster.entries[at]!
    store.denyKeys([key.id])
    const deniedAtMs = clock.nowMs()
    const proposed = await store.proposeChange({ kind: 'revokeKeys', keyIds: [key.id], allowUnknown: true })
    if (proposed.isOk()) recordAccepted(proposed.value)
    if (key.durable === true) return
    key.revokedAtMs = proposed.isOk() ? clock.nowMs() : deniedAtMs
    key.durable = proposed.isOk()
  }

  const grant = async (at: number, team: string): Promise<GrantedKey | undefined> => {
    const entry = cluster.entries[at]!
    const { key, grant } = createKey(entry.random, `${team}-${keys.length}-${at}`)
    const granted: GrantedKey = { id: grant.id, key, team }
    keys.push(granted)
    const proposed = await entry.store.proposeChange({ kind: 'grantKey', team, grant })
    if (proposed.isOk()) recordAccepted(proposed.value)
    return granted
  }

  const apply = async (at: number, share: number): Promise<void> => {
    const { store } = cluster.entries[at]!
    const proposed = await store.proposeChange({ kind: 'applyManifest', manifest: createManifest(share) }, store.readVersion())
    if (proposed.isOk()) recordAccepted(proposed.value)
  }

  /** Each version has the same content at every entry, and versions never decrease at an entry. */
  const checkVersions = (): void => {
    for (const { installedDocuments } of cluster.entries) {
      let last = 0
      for (const document of installedDocuments) {
        assert.ok(document.version > last, `version ${document.version} after ${last}`)
        last = document.version
        const content = JSON.stringify(document)
        assert.is(contentByVersion.get(document.version) ?? content, content, `two contents of version ${document.version}`)
        contentByVersion.set(document.version, content)
      }
    }
  }

  const checkInForce = (): void => {
    const nowMs = clock.nowMs()
    for (const { version, atMs } of accepted) {
      for (const [index, entry] of cluster.entries.entries()) {
        const wasReachable = nowMs >= reachableSinceMs[index]! + PROPAGATION_LIMIT_MS || linkedSinceMs <= atMs
        if (entry.executor.isPaused() || !wasReachable || nowMs < atMs + PROPAGATION_LIMIT_MS) continue
        assert.ok(entry.store.readVersion() >= version, `${entry.entry} has ${entry.store.readVersion()}, accepted ${version}`)
      }
    }
  }

  /** Presents every revoked key at every running entry concurrently, and checks each result against the time it arrived. */
  const checkRevoked = async (): Promise<void> => {
    const answers: Array<Promise<{ key: GrantedKey, index: number, atMs: number, isAccepted: boolean }>> = []
    for (const key of keys) {
      if (key.revokedAtMs === undefined) continue
      for (const [index, entry] of cluster.entries.entries()) {
        if (entry.executor.isPaused()) continue
        const checking = entry.keyRing.checkTeam(`Bearer ${key.key}`, key.team)
        answers.push(checking.then((checked) => ({ key, index, atMs: clock.nowMs(), isAccepted: checked.isOk() })))
      }
    }
    const results = Promise.all(answers)
    await clock.runFor(answers.length > 0 ? CHECK_WAIT_MS : 0)
    for (const { key, index, atMs, isAccepted } of await results) if (isAccepted) checkAcceptedKey(key, index, atMs)
  }

  /** A revoked key may be accepted only before its revocation can have arrived, or at a partitioned entry if its team has whenCut = "serve". */
  const checkAcceptedKey = (key: GrantedKey, index: number, atMs: number): void => {
    const sinceRevoked = atMs - key.revokedAtMs!
    assert.ok(linkedSinceMs > key.revokedAtMs! || sinceRevoked < REVOCATION_LIMIT_MS, `e${index} accepts a denied key although linked`)
    if (key.durable !== true) return
    assert.ok(atMs < Math.max(key.revokedAtMs!, reachableSinceMs[index]!) + REVOCATION_LIMIT_MS, `e${index} accepts a revoked key`)
    if (key.team !== 'covers' || atMs - lastStaleReadMs < STALE_READ_LIMIT_MS) return
    assert.ok(sinceRevoked < REVOCATION_LIMIT_MS, `e${index} accepts a revoked key of a team with whenCut = "refuse"`)
  }

  const runStep = async (next: Step): Promise<void> => {
    if (next.kind === 'advance') await clock.runFor(next.ms)
    if (next.kind === 'outage') sharedFaults.outage = next.on
    if (next.kind === 'slow') sharedFaults.delayMs = next.delayMs
    if (next.kind === 'lostAnswers') sharedFaults.lostAnswerRate = next.rate
    if (next.kind === 'staleReads') sharedFaults.staleReadRate = next.rate
    if (next.kind === 'cutPlatform') cluster.entries[next.at]!.faults[next.how] = next.on
    if (next.kind === 'pause') next.on ? cluster.entries[next.at]!.executor.pause() : cluster.entries[next.at]!.executor.resume()
    if (next.kind === 'cutLink' && next.at !== next.other) setCut(next.at, next.other, next.on)
    if (next.kind === 'cutDomain') cutDomain(next.members, next.on)
    if (next.kind === 'restart') {
      for (const pair of [...cuts]) if (pair.split('|').includes(String(next.at))) cuts.delete(pair)
      cluster.restart(next.at)
      reachableSinceMs[next.at] = Infinity
      linkedSinceMs = Infinity
    }
    updateReachability()
    await runOperators(next)
    if (sharedFaults.staleReadRate > 0) lastStaleReadMs = clock.nowMs()
  }

  const setCut = (a: number, b: number, on: boolean): void => {
    const [first, second] = [cluster.entries[a]!.incarnation, cluster.entries[b]!.incarnation]
    const pair = a < b ? `${a}|${b}` : `${b}|${a}`
    if (on) mesh.setCut(first, second)
    else mesh.removeCut(first, second)
    if (on) cuts.add(pair)
    else cuts.delete(pair)
  }

  /** Partitions some entries from the platform and from the other entries, but not from each other. */
  const cutDomain = (members: readonly number[], on: boolean): void => {
    for (const member of members) {
      cluster.entries[member]!.faults.outage = on
      for (const other of cluster.entries.keys()) if (!members.includes(other)) setCut(member, other, on)
    }
  }

  /** Starts operators' actions without awaiting them, so that they race with later steps. */
  const runOperators = async (next: Step): Promise<void> => {
    if (!('at' in next) || cluster.entries[next.at]!.executor.isPaused()) return
    if (next.kind === 'grant') grant(next.at, next.team)
    if (next.kind === 'apply') {
      apply(next.at, next.share)
      apply(next.other, next.share + 1)
    }
    if (next.kind === 'revoke' && keys.length > 0) revoke(next.at, keys[next.key % keys.length]!)
    if (next.kind === 'raceKey') {
      grant(next.at, next.team)
      revoke(next.other, keys.at(-1)!)
    }
    await clock.settle()
  }

  const heal = async (): Promise<void> => {
    Object.assign(sharedFaults, { outage: false, delayMs: 0, lostAnswerRate: 0, staleReadRate: 0 })
    for (const pair of [...cuts]) setCut(Number(pair[0]), Number(pair[2]), false)
    for (const { executor, faults } of cluster.entries) {
      Object.assign(faults, { outage: false, silent: false })
      executor.resume()
    }
    updateReachability()
    await clock.runFor(20_000)
  }

  return { cluster, keys, accepted, contentByVersion, apply, runStep, checkVersions, checkInForce, checkRevoked, heal }
}

/** Checks that all entries converge after the faults have ended and that no committed change was lost. */
function checkEnd (cluster: ConfigCluster, keys: readonly GrantedKey[], accepted: ReadonlyArray<{ version: number }>): void {
  const final = cluster.model.findRow('config/current')?.value as ConfigDocument
  for (const { store } of cluster.entries) {
    assert.equal(store.readVersion(), final.version)
    assert.equal(store.readDocument(), final)
    assert.ok(store.isFresh())
    assert.equal(store.listDeniedKeyIds(), [])
  }
  for (const { version } of accepted) assert.ok(version <= final.version)
  const revoked = keys.filter((key) => key.revokedAtMs !== undefined && key.durable === true)
  for (const key of revoked) assert.ok(final.revokedKeyIds.includes(key.id), `${key.id} is not permanently revoked`)
  const log = JSON.stringify(cluster.log.recorded)
  for (const { key } of keys) assert.not(log.includes(key), 'the log contains a key')
}

test('configuration never reverts and is in force within 6 s, and a revoked key is refused within 5 s', async () => {
  const property = fc.asyncProperty(fc.integer({ min: 0, max: 1e6 }), fc.array(step, { minLength: 4, maxLength: 24, size: 'max' }), async (seed, steps) => {
    const simulation = createSimulation(seed)
    await simulation.cluster.clock.runFor(10)
    simulation.apply(0, 1)
    await simulation.cluster.clock.runFor(100)
    for (const team of ['covers', 'pages', 'covers', 'pages'] as const) await simulation.runStep({ kind: 'grant', at: 0, team })
    await simulation.cluster.clock.runFor(3000)
    for (const next of steps) {
      await simulation.runStep(next)
      simulation.checkVersions()
      simulation.checkInForce()
      await simulation.checkRevoked()
    }
    await simulation.heal()
    simulation.checkVersions()
    simulation.checkInForce()
    await simulation.checkRevoked()
    checkEnd(simulation.cluster, simulation.keys, simulation.accepted)
  })
  await fc.assert(property, resolveFuzzOptions(SEED, RUNS))
})

test.run()
