/** Tests single faults that affect the configuration or keys, each at the moment when it does the most harm. */
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import fc from 'fast-check'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createKey } from '../key.js'
import { createConfigCluster, createManifest, OPERATOR_KEY, type ConfigCluster } from './configCluster.js'

const CONVERGENCE_MS = 3000

/** Creates entries with a manifest in force and one key of each team. */
async function createReadyCluster (size: number) {
  const cluster = createConfigCluster(size, 7)
  const { clock, entries } = cluster
  await clock.runFor(10)
  const { store, random } = entries[0]!
  await store.proposeChange({ kind: 'applyManifest', manifest: createManifest() }, 0)
  const covers = createKey(random, 'covers-1')
  const pages = createKey(random, 'pages-1')
  await store.proposeChange({ kind: 'grantKey', team: 'covers', grant: covers.grant })
  await store.proposeChange({ kind: 'grantKey', team: 'pages', grant: pages.grant })
  await clock.runFor(CONVERGENCE_MS)
  return { ...cluster, covers: `Bearer ${covers.key}`, pages: `Bearer ${pages.key}` }
}

async function check (cluster: ConfigCluster, index: number, key: string | undefined, team?: string): Promise<string> {
  const checking = cluster.entries[index]!.keyRing.checkTeam(key, team)
  await cluster.clock.runFor(600)
  return (await checking).match((found) => found.name, (refusal) => refusal)
}

/** Revokes a key at an entry and waits for the commit. */
async function revoke (cluster: ConfigCluster, index: number, keyId: string): Promise<void> {
  const revoking = cluster.entries[index]!.store.proposeChange({ kind: 'revokeKeys', keyIds: [keyId], allowUnknown: false })
  await cluster.clock.runFor(100)
  assert.ok((await revoking).isOk())
}

test('a response that was received during a pause of the process does not confirm freshness', async () => {
  // At one of these offsets the pause falls between a poll and its response.
  for (let offsetMs = 0; offsetMs < 2000; offsetMs += 200) {
    const ready = await createReadyCluster(2)
    const paused = ready.entries[1]!
    ready.sharedFaults.delayMs = 400
    await ready.clock.runFor(offsetMs)
    paused.executor.pause()
    await ready.clock.runFor(1000)
    ready.sharedFaults.delayMs = 0
    ready.mesh.setCut(ready.entries[0]!.incarnation, paused.incarnation)
    await revoke(ready, 0, 'covers-1')
    await ready.clock.runFor(20_000)
    ready.sharedFaults.outage = true
    paused.executor.resume()
    await ready.clock.settle()
    assert.not(paused.store.isFresh(), `paused after ${offsetMs} ms`)
    assert.is(await check(ready, 1, ready.covers), 'configurationStale')
  }
})

test('two partitioned entries do not confirm each other', async () => {
  const ready = await createReadyCluster(3)
  const [outside, first, second] = ready.entries.map((entry) => entry.incarnation)
  for (const index of [1, 2]) ready.entries[index]!.faults.outage = true
  ready.mesh.setCut(outside!, first!)
  ready.mesh.setCut(outside!, second!)
  await revoke(ready, 0, 'covers-1')
  await ready.clock.runFor(5000)
  for (const index of [1, 2]) assert.is(await check(ready, index, ready.covers), 'configurationStale')
  assert.is(await check(ready, 1, ready.pages), 'pages', 'the team with whenCut = "serve" is still served')
  assert.is(await check(ready, 1, undefined, 'walkins'), 'walkins', 'the open team needs no key')
})

test('an entry that only lost the platform stays fresh through its peers', async () => {
  const ready = await createReadyCluster(3)
  ready.entries[1]!.faults.silent = true
  await ready.clock.runFor(10_000)
  assert.ok(ready.entries[1]!.store.isFresh())
  assert.is(await check(ready, 1, ready.covers), 'covers')
  await revoke(ready, 0, 'covers-1')
  await ready.clock.runFor(100)
  assert.is(await check(ready, 1, ready.covers), 'unauthorized')
})

test('a stale entry refreshes before it accepts a key, also of a team with whenCut = "serve"', async () => {
  const ready = await createReadyCluster(2)
  ready.mesh.setCut(ready.entries[0]!.incarnation, ready.entries[1]!.incarnation)
  ready.entries[1]!.faults.outage = true
  await ready.clock.runFor(6000)
  await revoke(ready, 0, 'pages-1')
  assert.is(await check(ready, 1, ready.pages), 'pages', 'neither the platform nor a peer is reachable')
  await ready.clock.runFor(2000)
  ready.entries[1]!.faults.outage = false
  assert.is(await check(ready, 1, ready.pages), 'unauthorized')
})

test('a change whose response was lost is resolved even if another change was committed after it', async () => {
  const ready = await createReadyCluster(2)
  ready.entries[0]!.faults.lostAnswerRate = 1
  const first = ready.entries[0]!.store.proposeChange({ kind: 'drainVm', vm: 'w1', goneVms: [] }, 3)
  await ready.clock.runFor(500)
  const second = await ready.entries[1]!.store.proposeChange({ kind: 'drainVm', vm: 'w2', goneVms: [] })
  assert.is(second._unsafeUnwrap().version, 5)
  ready.entries[0]!.faults.lostAnswerRate = 0
  await ready.clock.runFor(CONVERGENCE_MS)
  assert.ok((await first).isOk(), 'the first operator gets no conflict with its own change')
})

test('one of two concurrent operators gets a conflict with both versions and the difference', async () => {
  const ready = await createReadyCluster(2)
  const [one, two] = await Promise.all([2, 3].map((share, index) => {
    return ready.entries[index]!.store.proposeChange({ kind: 'applyManifest', manifest: createManifest(share) }, 3)
  }))
  assert.ok(one!.isOk())
  const conflict = two!._unsafeUnwrapErr()
  assert.is(conflict.kind, 'conflict')
  if (conflict.kind !== 'conflict') return
  assert.equal([conflict.expectedVersion, conflict.currentVersion], [3, 4])
  assert.equal(conflict.difference.map((change) => change.path), ['teams.covers.share', 'teams.pages.share'])
})

test('an outdated read neither reverts the configuration nor confirms it', async () => {
  const ready = await createReadyCluster(2)
  const { store, faults } = ready.entries[1]!
  faults.outage = true
  await ready.clock.runFor(CONVERGENCE_MS)
  await revoke(ready, 0, 'covers-1')
  const version = ready.entries[0]!.store.readVersion()
  await ready.clock.runFor(200)
  assert.is(store.readVersion(), version, 'learned from the peer')
  ready.mesh.setCut(ready.entries[0]!.incarnation, ready.entries[1]!.incarnation)
  await ready.clock.runFor(5000)
  Object.assign(faults, { outage: false, staleReadRate: 1 })
  const refreshing = store.refresh()
  await ready.clock.runFor(5)
  assert.is(store.readVersion(), version)
  assert.not(store.isFresh())
  await ready.clock.runFor(1000)
  await refreshing
  assert.ok(ready.log.listFields('FT606').length > 0)
})

test('a read at an older revision than the last one does not confirm freshness, even with the same version', async () => {
  const ready = await createReadyCluster(2)
  const { store, faults } = ready.entries[1]!
  ready.mesh.setCut(ready.entries[0]!.incarnation, ready.entries[1]!.incarnation)
  await ready.clock.runFor(2500)
  ready.model.transact({ writeId: 'w', checks: [], writes: [{ key: 'job/x', value: {} }] })
  await ready.clock.runFor(1200)
  faults.staleReadRate = 1
  await ready.clock.runFor(1200)
  assert.is(store.readVersion(), 3)
  assert.ok(ready.log.listFields('FT606').length > 0)
})

test('a revocation during an outage reaches peers immediately, survives restarts, and is committed by a remaining entry', async () => {
  const ready = await createReadyCluster(3)
  ready.sharedFaults.outage = true
  ready.entries[0]!.store.denyKeys(['pages-1'])
  await ready.clock.runFor(10)
  for (const index of [0, 1, 2]) assert.ok(ready.entries[index]!.store.isDenied('pages-1'), 'before any heartbeat')
  ready.restart(1)
  await ready.clock.runFor(CONVERGENCE_MS)
  assert.is(await check(ready, 1, ready.pages), 'unauthorized')
  ready.restart(0)
  ready.restart(2)
  await ready.clock.runFor(CONVERGENCE_MS)
  ready.sharedFaults.outage = false
  await ready.clock.runFor(CONVERGENCE_MS)
  assert.equal(ready.entries[0]!.store.readDocument()?.revokedKeyIds, ['pages-1'])
})

test('a prober cannot tell unknown, malformed, revoked and foreign keys apart', async () => {
  const ready = await createReadyCluster(1)
  await revoke(ready, 0, 'pages-1')
  const wrong = ready.covers.replace(/.$/, (last) => last === '0' ? '1' : '0')
  const probes: Array<[string | undefined, string | undefined]> = [
    [wrong, undefined], [ready.pages, undefined], ['Bearer nonsense', undefined], ['Basic abc', 'covers'], ['', 'covers'],
    [undefined, undefined], [undefined, 'covers'], [undefined, 'nobody'], [ready.covers, 'pages'], [ready.covers, 'nobody'],
    [ready.pages, 'pages'], [`Bearer ${'x'.repeat(100_000)}`, 'covers'], [`Bearer ft_covers-1_${'0'.repeat(64)}`, undefined]
  ]
  for (const [key, team] of probes) assert.is(await check(ready, 0, key, team), 'unauthorized')
  assert.is(await check(ready, 0, ready.covers), 'covers')
  assert.ok(ready.entries[0]!.keyRing.isOperator(`Bearer ${OPERATOR_KEY}`))
  assert.not(ready.entries[0]!.keyRing.isOperator(ready.covers))
  assert.not(JSON.stringify(ready.log.recorded).includes(ready.covers.slice(7)))
})

test('arbitrary headers and team names make the key ring neither throw nor accept', async () => {
  const ready = await createReadyCluster(1)
  const { keyRing } = ready.entries[0]!
  const header = fc.oneof(fc.string({ unit: 'binary' }), fc.string().map((text) => `Bearer ${text}`), fc.string().map((text) => `Bearer ft_covers-1_${text}`))
  await fc.assert(fc.asyncProperty(header, fc.option(fc.string(), { nil: undefined }), async (authorization, team) => {
    assert.is((await keyRing.checkTeam(authorization, team))._unsafeUnwrapErr(), 'unauthorized')
    assert.not(keyRing.isOperator(authorization))
  }), resolveFuzzOptions(20260105, 500))
})

test('without any configuration every key check returns noConfiguration', async () => {
  const cluster = createConfigCluster(1, 1)
  cluster.sharedFaults.outage = true
  assert.is(await check(cluster, 0, 'Bearer ft_a_0', 'a'), 'noConfiguration')
})

test.run()
