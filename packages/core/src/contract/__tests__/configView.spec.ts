/** The view never moves to an older version and ignores confirmations of versions below the highest known one. */
import fc from 'fast-check'
import { resolveFuzzOptions } from '../../testing/fuzzOptions.js'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { CONFIG_STALE_AFTER_MS, createConfigView, type ConfigDocument } from '../../index.js'

const version = fc.integer({ min: 1, max: 6 })
const step = fc.oneof(
  fc.record({ kind: fc.constant('install' as const), version }),
  fc.record({ kind: fc.constant('peerVersion' as const), version }),
  fc.record({ kind: fc.constant('current' as const), version, atMs: fc.nat(10_000) })
)

test('a view is fresh only if the highest known version is installed and was recently confirmed', () => {
  fc.assert(fc.property(fc.array(step, { maxLength: 20 }), fc.nat(15_000), (steps, nowMs) => {
    const view = createConfigView()
    let installed = 0
    let highest = 0
    for (const next of steps) {
      if (next.kind === 'install') {
        assert.is(view.installDocument({ version: next.version } as ConfigDocument), next.version > installed)
        installed = Math.max(installed, next.version)
        highest = Math.max(highest, installed)
      }
      if (next.kind === 'peerVersion') {
        view.recordPeerVersion(next.version)
        highest = Math.max(highest, next.version)
      }
      if (next.kind === 'current') {
        const before = view.readCurrentAtMs()
        view.recordCurrent(next.version, next.atMs)
        if (next.version < highest) assert.is(view.readCurrentAtMs(), before, 'a stale read was accepted as confirmation')
        highest = Math.max(highest, next.version)
      }
      assert.is(view.readVersion(), installed)
      assert.is(view.readHighestVersion(), highest)
    }
    if (view.isFresh(nowMs)) {
      assert.is(installed, highest)
      const confirmations = steps.filter((next) => next.kind === 'current').map((next) => next.atMs)
      assert.ok(confirmations.some((atMs) => nowMs - atMs < CONFIG_STALE_AFTER_MS))
    }
  }), resolveFuzzOptions(20260105, 500))
})

test('a confirmation received before its document counts from its own time once the document is installed', () => {
  const view = createConfigView()
  view.recordCurrent(3, 1000)
  assert.not(view.isFresh(1000))
  view.installDocument({ version: 3 } as ConfigDocument)
  assert.ok(view.isFresh(1000 + CONFIG_STALE_AFTER_MS - 1))
  assert.not(view.isFresh(1000 + CONFIG_STALE_AFTER_MS))
})

test.run()
