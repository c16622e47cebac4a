/** Tests the operators' routes with real configuration stores over fakes: authorization, responses, and messages for faults. */
import type { Vm } from '@fuchsiatally/core'
import { createFakePlatform } from '@fuchsiatally/table/testing/fakePlatform'
import fc from 'fast-check'
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createConfigCluster, createManifest, OPERATOR_KEY } from '../../contract/__tests__/configCluster.js'
import type { SessionView } from '../../ports.js'
import { createConfigRoutes } from '../configRoutes.js'
import { createKeyRoutes } from '../keyRoutes.js'
import type { Route } from '../route.js'
import { createRouter } from '../router.js'
import { createTeamRoutes } from '../teamRoutes.js'
import { createVmRoutes } from '../vmRoutes.js'

const VM: Vm = {
  id: 'w-matching-07', state: 'live', failureDomain: 'a', rack: 'r1', pool: 'matching', address: '127.0.0.1:1', resources: { processors: 1, memoryMb: 1, accelerators: 0 }, runners: []
}

function createApi () {
  const cluster = createConfigCluster(2, 3)
  const { clock, model, sharedFaults, log, entries } = cluster
  model.setVm(VM)
  const { store, keyRing, random, incarnation } = entries[0]!
  const options = { keyRing, config: store, log }
  const platform = createFakePlatform({ model, clock, random, sharedFaults })
  const createView = (name: string, id: string, expired: boolean): SessionView => ({
    entry: name, incarnation: id, failureDomain: 'a', linkAddress: '', httpAddress: '', leaving: false, configVersion: 0, expired
  })
  const listSessions = (): SessionView[] => [
    ...entries.map((entry) => createView(entry.entry, entry.incarnation, false)), createView('e9', 'e9-1', true)
  ]
  const routes: Route[] = [
    ...createConfigRoutes({ ...options, sessions: { incarnation, listSessions }, cell: 'test' }),
    ...createKeyRoutes({ ...options, random }),
    ...createTeamRoutes(options),
    ...createVmRoutes({ ...options, platform })
  ]
  const findRoute = createRouter(routes)
  const call = async (method: string, path: string, body?: unknown, key = OPERATOR_KEY) => {
    const found = findRoute(method, path)
    if (found.kind !== 'found') throw new Error(`${method} ${path}: ${found.kind}`)
    const text = typeof body === 'string' ? body : JSON.stringify(body ?? null)
    const answering = found.match.route.handle({
      method, path, query: new URLSearchParams(), headers: { authorization: `Bearer ${key}` }, body: Buffer.from(text), signal: new AbortController().signal
    }, found.match.parameters)
    await clock.runFor(15_000)
    const answer = await answering
    return { status: answer.status, value: JSON.parse(Buffer.from(answer.body as Uint8Array).toString('utf8')) }
  }
  return { ...cluster, routes, call }
}

test('every route requires the operators\' key, also for requests that would fail', async () => {
  const { routes, call } = createApi()
  for (const route of routes) {
    const refused = await call(route.method, route.pattern.replace(':id', 'x'), 'no json', 'ft_a_0')
    assert.equal([refused.status, refused.value.code], [401, 'unauthorized'], route.pattern)
  }
})

test('the life cycle of a configuration and of a key', async () => {
  const { call, entries, clock } = createApi()
  assert.is((await call('GET', '/v1/config')).status, 404)
  assert.is((await call('POST', '/v1/keys', { team: 'pages' })).status, 409, 'no manifest yet')
  assert.equal((await call('PUT', '/v1/config', { manifest: createManifest(), expectedVersion: 0 })).value, { version: 1, warnings: [] })
  const conflict = await call('PUT', '/v1/config', { manifest: createManifest(2), expectedVersion: 0 })
  assert.equal([conflict.status, conflict.value.expectedVersion, conflict.value.currentVersion, conflict.value.difference.length], [409, 0, 1, 2])
  assert.is((await call('POST', '/v1/config/diff', { manifest: createManifest(2) })).value.changes.length, 2)
  const granted = await call('POST', '/v1/keys', { team: 'pages', id: 'p1' })
  assert.is(granted.status, 201)
  const { key } = granted.value
  const accepted = entries[1]!.keyRing.checkTeam(`Bearer ${key}`, undefined)
  await clock.runFor(600)
  assert.is((await accepted)._unsafeUnwrap().name, 'pages')
  const listed = JSON.stringify([(await call('GET', '/v1/keys')).value, (await call('GET', '/v1/teams')).value, (await call('GET', '/v1/config')).value])
  assert.not(listed.includes(key))
  assert.match((await call('POST', '/v1/keys', { team: 'page' })).value.detail, 'did you mean pages?')
  assert.match((await call('DELETE', '/v1/keys/p2')).value.detail, 'did you mean p1?')
  assert.equal((await call('DELETE', '/v1/keys/p1')).value, { id: 'p1', durable: true, version: 3 })
  assert.is((await call('DELETE', '/v1/keys/p1')).status, 200, 'revoking again has no effect')
  assert.is((await call('POST', '/v1/keys', { team: 'pages', id: 'p1' })).value.reason, 'keyRevoked')
  assert.equal((await call('GET', '/v1/keys')).value.keys, [{ id: 'p1', state: 'revoked' }])
})

test('a manifest that has faults or is for another cell is refused with all faults listed', async () => {
  const { call } = createApi()
  const broken = { ...createManifest(), cell: 'TEST', services: [{ name: 'a' }] }
  const refused = await call('PUT', '/v1/config', { manifest: broken, expectedVersion: -1 })
  assert.is(refused.status, 400)
  const paths = refused.value.faults.map((fault: { path: string }) => fault.path)
  for (const path of ['manifest.cell', 'manifest.services[0].pool', 'expectedVersion']) assert.ok(paths.includes(path), path)
  const foreign = await call('PUT', '/v1/config', { manifest: { ...createManifest(), cell: 'other' }, expectedVersion: 0 })
  assert.equal([foreign.status, foreign.value.faults[0].path], [400, 'cell'])
})

test('a revocation during an outage is reported as not durable and is committed after the outage', async () => {
  const { call, sharedFaults, clock, entries } = createApi()
  await call('PUT', '/v1/config', { manifest: createManifest(), expectedVersion: 0 })
  const { key } = (await call('POST', '/v1/keys', { team: 'pages', id: 'p1' })).value
  sharedFaults.outage = true
  const revoked = await call('DELETE', '/v1/keys/p1')
  assert.equal([revoked.status, revoked.value.durable, revoked.value.known], [202, false, true])
  const checking = entries[1]!.keyRing.checkTeam(`Bearer ${key}`, undefined)
  await clock.runFor(600)
  assert.is((await checking)._unsafeUnwrapErr(), 'unauthorized')
  assert.is((await call('GET', '/v1/keys')).value.keys[0].state, 'revocationPending')
  const failed = await call('PUT', '/v1/config', { manifest: createManifest(2), expectedVersion: 2 })
  assert.equal([failed.status, failed.value.code, failed.value.mayBeApplied], [503, 'platform_unavailable', false])
  sharedFaults.outage = false
  await clock.runFor(3000)
  assert.is((await call('GET', '/v1/keys')).value.keys[0].state, 'revoked')
})

test('the status lists lagging and unreachable entries, and drains are checked against the list of VMs', async () => {
  const { call, entries, clock } = createApi()
  await call('PUT', '/v1/config', { manifest: createManifest(), expectedVersion: 0 })
  entries[1]!.executor.pause()
  assert.is((await call('POST', '/v1/vms/w-matching-07/drain')).value.version, 2)
  const status = (await call('GET', '/v1/config/status')).value
  assert.equal([status.version, status.lagging, status.unreachable], [2, ['e1'], ['e9']])
  entries[1]!.executor.resume()
  await clock.runFor(3000)
  assert.equal((await call('GET', '/v1/config/status')).value.lagging, [])
  assert.match((await call('POST', '/v1/vms/w-matching-70/drain')).value.detail, 'did you mean w-matching-07?')
  await call('DELETE', '/v1/vms/w-matching-07/drain')
  assert.equal(entries[1]!.store.readDocument()?.drainedVms, [])
})

test('arbitrary bodies never make a route throw', async () => {
  const { call } = createApi()
  const body = fc.oneof(fc.string(), fc.json(), fc.record({ manifest: fc.anything(), expectedVersion: fc.integer() }).map((value) => JSON.stringify(value) ?? ''), fc.record({ team: fc.string(), id: fc.string() }).map((value) => JSON.stringify(value)))
  const target = fc.constantFrom(['PUT', '/v1/config'] as const, ['POST', '/v1/config/diff'] as const, ['POST', '/v1/keys'] as const)
  await fc.assert(fc.asyncProperty(target, body, async ([method, path], text) => {
    assert.is((await call(method, path, text)).status >= 400, true)
  }), resolveFuzzOptions(20260105, 200))
})

test.run()
