/** Tests of parsing, comparing and changing manifests: invalid input never throws, and every fault is reported. */
import { readFileSync } from 'node:fs'
import fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
  applyChange, diffManifests, findLine, formatFault, listGrants, parseManifest,
  type ConfigChange, type ConfigDocument, type Manifest
} from '../../index.js'

const SEED = 20260105
const EXAMPLE = readFileSync(new URL('../../../../../examples/tancopar.toml', import.meta.url), 'utf8')
const OTHER = readFileSync(new URL('../../../../../examples/dalisay.toml', import.meta.url), 'utf8')
const manifest = parseManifest(EXAMPLE)._unsafeUnwrap()

test('the example manifests are valid', () => {
  assert.is(manifest.teams.length, 5)
  assert.is(parseManifest(OTHER)._unsafeUnwrap().cell, 'dalisay')
})

test('reports all faults at once, each with its line and fix', () => {
  const broken = EXAMPLE
    .replace('share = 4', 'shar = 4')
    .replace('lengthMinutes = 720', 'lengthMinutes = 0')
    .replace('whenCut = "serve"', 'whenCut = "maybe"')
    .replace('pool = "video"\n', '')
  const faults = parseManifest(broken)._unsafeUnwrapErr()
  const lines = faults.map((fault) => formatFault(fault, 'm.toml'))
  const lineOf = (text: string): number => broken.split('\n').findIndex((line) => line.startsWith(text)) + 1
  assert.is(lines.length, 5, lines.join('\n'))
  assert.ok(lines.includes(`m.toml:${lineOf('shar =')}: teams[0].shar: unknown option; did you mean \`share\`?`), lines.join('\n'))
  assert.ok(lines.some((line) => line.startsWith(`m.toml:${lineOf('lengthMinutes')}: shareWindow.lengthMinutes: 0 does not fit`)))
  assert.ok(lines.some((line) => line.startsWith(`m.toml:${lineOf('whenCut = "maybe"')}: teams[0].whenCut: "maybe" does not fit`)))
  assert.ok(lines.some((line) => line.includes('services[1].pool: missing; add `pool = ...`')))
})

test('reports faults that the schema cannot express, and never shows a pasted key', () => {
  const twice = EXAMPLE.replace('name = "clubs"', 'name = "schools"').replaceAll('slotsPerRunner = 8', 'slotsPerRunner = 80')
  assert.equal(parseManifest(twice)._unsafeUnwrapErr().map((fault) => fault.path), ['teams[1].name', 'services[0].slotsPerRunner', 'services[1].slotsPerRunner'])
  const pasted = EXAMPLE.replace('keys = []', 'keys = [{ id = "a", sha256 = "ft_a_5ec4e7" }]')
  assert.not.match(JSON.stringify(parseManifest(pasted)._unsafeUnwrapErr()), '5ec4e7')
})

test('no text makes the parser throw', () => {
  const mutated = fc.tuple(fc.nat(EXAMPLE.length), fc.nat(40), fc.string()).map(([at, length, text]) => EXAMPLE.slice(0, at) + text + EXAMPLE.slice(at + length))
  fc.assert(fc.property(fc.oneof(fc.string({ unit: 'binary' }), mutated), (text) => {
    const parsed = parseManifest(text)
    if (parsed.isErr()) assert.ok(parsed.error.length > 0)
    findLine(text, ['teams', 0, 'share'])
  }), resolveFuzzOptions(SEED, 500))
})

test('compares teams by name, not by position', () => {
  const moved: Manifest = { ...manifest, teams: [...manifest.teams].reverse() }
  assert.equal(diffManifests(manifest, moved), [])
  const document = applyChange(null, { kind: 'applyManifest', manifest }, 'w')._unsafeUnwrap()
  assert.is(applyChange(document, { kind: 'applyManifest', manifest: moved }, 'x')._unsafeUnwrap(), document, 'no version without a difference')
  const changed = { ...manifest, teams: manifest.teams.filter((team) => team.name !== 'clubs').map((team) => ({ ...team, share: team.name === 'schools' ? 9 : team.share })) }
  assert.equal(diffManifests(manifest, changed).map((change) => [change.kind, change.path]), [['removed', 'teams.clubs'], ['changed', 'teams.schools.share']])
})

const id = fc.constantFrom('k1', 'k2', 'k3')
const hash = fc.constantFrom('1', '2', '3').map((digit) => digit.repeat(64))
const team = fc.constantFrom('schools', 'clubs', 'nobody')
const change: fc.Arbitrary<ConfigChange> = fc.oneof(
  fc.record({ kind: fc.constant('grantKey' as const), team, grant: fc.record({ id, sha256: hash }) }),
  fc.record({ kind: fc.constant('revokeKeys' as const), keyIds: fc.array(id, { maxLength: 2 }), allowUnknown: fc.boolean() }),
  fc.tuple(fc.boolean(), fc.option(fc.record({ id, sha256: hash }))).map(([keepsClubs, grant]) => {
    const teams = manifest.teams.filter((known) => keepsClubs || known.name !== 'clubs')
    const [first, ...others] = teams
    return { kind: 'applyManifest' as const, manifest: { ...manifest, teams: [{ ...first!, keys: grant === null ? [] : [grant] }, ...others] } }
  }),
  fc.record({ kind: fc.constant('drainVm' as const), vm: id, goneVms: fc.array(id, { maxLength: 1 }) }),
  fc.record({ kind: fc.constant('undrainVm' as const), vm: id })
)

test('each change increments the version by one, and a revoked key is never granted again', () => {
  fc.assert(fc.property(fc.array(change, { maxLength: 30 }), (changes) => {
    let document: ConfigDocument = applyChange(null, { kind: 'applyManifest', manifest }, 'w')._unsafeUnwrap()
    const revoked = new Set<string>()
    for (const next of changes) {
      const applied = applyChange(document, next, `w${document.version}`)
      if (applied.isErr()) continue
      const after = applied.value
      if (after !== document) assert.is(after.version, document.version + 1)
      if (next.kind === 'revokeKeys') for (const keyId of next.keyIds) revoked.add(keyId)
      for (const keyId of revoked) assert.ok(after.revokedKeyIds.includes(keyId), 'a revocation was lost')
      const held = listGrants(after).map((view) => view.grant)
      assert.is(new Set(held.map((grant) => grant.id)).size, held.length, 'two keys with the same id')
      assert.is(new Set(held.map((grant) => grant.sha256)).size, held.length, 'two keys with the same hash')
      assert.not(held.some((grant) => revoked.has(grant.id)), 'a revoked key is granted')
      for (const granted of after.grants) assert.ok(after.manifest.teams.some((known) => known.name === granted.team))
      if (next.kind === 'grantKey') assert.not(revoked.has(next.grant.id), 'a revoked id was granted')
      document = after
    }
  }), resolveFuzzOptions(SEED, 500))
})

test.run()
