/** Load pattern: several tasks that crash their workers, beside racks that fail, cuts, restarts of workers and changes of the holder. */
import { resolveFuzzOptions } from '@fuchsiatally/core/testing/fuzzOptions'
import { test } from 'uvu'
import { checkDay } from '../../testing/crashingTaskDay.js'

/** Seeds of days that failed: 113, 172 and 181 took crashes for a lost rack, 191 sent a start whose task had been released, 1006 and 1014 hid crashes from three holders. */
const REGRESSION_SEEDS = [113, 172, 181, 191, 1006, 1014]
const { seed: FIRST_SEED, numRuns: DAYS } = resolveFuzzOptions(1, 8)
const SEEDS = [...REGRESSION_SEEDS, ...Array.from({ length: DAYS }, (_, day) => FIRST_SEED + day)]
// Guards against BUDGET: bad tasks started without bound, and sound ones given up beside them.
for (const crashAfterMs of [10, 500]) {
  test(`only tasks that crash their workers ${crashAfterMs} ms after the start are given up`, async () => {
    for (const seed of SEEDS) await checkDay(seed, [], crashAfterMs)
  })

  // Guards against giving up sound tasks whose workers were lost to a rack, a cut or a restart.
  test(`sound tasks are not given up for lost racks, cuts and restarts beside crashes ${crashAfterMs} ms after the start`, async () => {
    for (const seed of SEEDS) await checkDay(seed, ['rack', 'silentCut', 'refusingCut', 'restart'], crashAfterMs)
  })

  // Guards against counts that a change of the holder forgets, or counts twice.
  test(`only bad tasks are given up while holders are killed, with crashes ${crashAfterMs} ms after the start`, async () => {
    for (const seed of SEEDS) await checkDay(seed, ['holder', 'rack', 'restart', 'refusingCut'], crashAfterMs)
  })
}

// Guards against counts that give sound tasks up (2091, 2192), start bad ones a sixth time (2137), or stem from a model that revives crashed workers (52012).
test('days that failed once hold', async () => {
  await checkDay(2091, ['holder', 'rack', 'restart', 'refusingCut'], 10)
  await checkDay(2192, ['rack', 'silentCut', 'refusingCut', 'restart'], 500)
  await checkDay(2137, ['holder', 'rack', 'restart', 'refusingCut'], 500)
  await checkDay(52012, ['holder', 'rack', 'restart', 'refusingCut'], 500)
})

test.run()
