/** Crashes that a holder doesn't learn of, because it took over after them. */
import { test } from 'uvu'
import { checkDay } from '../../testing/crashingTaskDay.js'

// Each change of the holder may hide a crash: the next life of the worker is listed before the new holder knows the former one.
test('crashes that several changes of the holder hide do not add up', async () => {
  await checkDay(1014, ['holder', 'rack', 'restart', 'refusingCut'], 10)
  await checkDay(1006, ['holder', 'rack', 'restart', 'refusingCut'], 500)
})

test.run()
