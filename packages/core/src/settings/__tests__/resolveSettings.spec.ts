/** Tests of settings: defaults are applied, all faults are reported at once, and no input throws. */
import fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { formatFault, resolveSettings } from '../../index.js'

const TEXT = `entry = "e1"
failureDomain = "ba-1"
cell = "tancopar"
httpAddress = "127.0.0.1:0"
linkAddress = "127.0.0.1:0"
platformAddress = "127.0.0.1:7000"
operatorKeySha256 = "${'a'.repeat(64)}"
`

test('applies all defaults and keeps given values', () => {
  const settings = resolveSettings(`${TEXT}outageToleranceMs = 5\n[limits]\nmaxConnections = 9\n`)._unsafeUnwrap()
  assert.is(settings.outageToleranceMs, 5)
  assert.is(settings.limits.maxConnections, 9)
  assert.is(settings.limits.maxFrameBytes, 16_777_216)
  assert.equal(settings.log, { level: 'info', format: 'auto' })
})

test('reports all faults with line and fix', () => {
  const broken = TEXT.replace('cell = "tancopar"', 'cel = "tancopar"').replace('127.0.0.1:7000', 'localhost') + '[log]\nlevel = "loud"\n'
  const lines = resolveSettings(broken)._unsafeUnwrapErr().map((fault) => formatFault(fault, 'entry.toml'))
  assert.is(lines.length, 4, lines.join('\n'))
  assert.ok(lines.includes('entry.toml:3: cel: unknown option; did you mean `cell`?'), lines.join('\n'))
  assert.ok(lines.some((line) => line.startsWith('entry.toml:6: platformAddress: "localhost" does not fit')))
  assert.ok(lines.some((line) => line.startsWith('entry.toml:9: log.level: "loud" does not fit')))
})

test('rejects unreachable addresses', () => {
  const wrong = TEXT.replace(':7000', ':0').replace('httpAddress = "127.0.0.1:0"', 'httpAddress = "0.0.0.0:70000"').replace('linkAddress = "127', 'linkAddress = "327')
  assert.equal(resolveSettings(wrong)._unsafeUnwrapErr().map((fault) => fault.path), ['httpAddress', 'httpAddress', 'linkAddress', 'platformAddress'])
})

test('no text makes resolveSettings throw', () => {
  const mutated = fc.tuple(fc.nat(TEXT.length), fc.nat(30), fc.string()).map(([at, length, text]) => TEXT.slice(0, at) + text + TEXT.slice(at + length))
  fc.assert(fc.property(fc.oneof(fc.string({ unit: 'binary' }), mutated), (text) => {
    const resolved = resolveSettings(text)
    if (resolved.isErr()) assert.ok(resolved.error.length > 0)
  }), resolveFuzzOptions(20260105, 500))
})

test.run()
