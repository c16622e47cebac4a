/** Load pattern: poison pill, at workers whose addresses give no sign of their crash. */
import { test } from 'uvu'
import { checkDay } from '../../testing/crashingTaskDay.js'

// Guards against BUDGET: crashes at about the time of other failures, or of a worker that is missing after an outage, left no trace.
test('crashes of workers that fall silent or hang up are counted in time beside other trouble', async () => {
  const failed: string[] = []
  const days = [
    [18, ['holder', 'rack', 'restart', 'refusingCut'], 500],
    [193, ['rack', 'silentCut', 'refusingCut', 'restart'], 500],
    [203, ['rack', 'silentCut', 'refusingCut', 'restart'], 500],
    [375, ['rack', 'silentCut', 'refusingCut', 'restart'], 500],
    [1008, ['rack', 'silentCut', 'refusingCut', 'restart'], 10],
    [1025, ['holder', 'rack', 'restart', 'refusingCut'], 500],
    [2008, ['rack', 'silentCut', 'refusingCut', 'restart'], 10],
    [2048, ['rack', 'silentCut', 'refusingCut', 'restart'], 10],
    [2148, ['rack', 'silentCut', 'refusingCut', 'restart'], 500],
    [2168, ['holder', 'rack', 'restart', 'refusingCut'], 10],
    [2168, ['rack', 'silentCut', 'refusingCut', 'restart'], 500],
    [2188, ['rack', 'silentCut', 'refusingCut', 'restart'], 10],
    [41038, ['rack', 'silentCut', 'refusingCut', 'restart'], 10],
    [41048, ['rack', 'silentCut', 'refusingCut', 'restart'], 10],
    [52028, ['rack', 'silentCut', 'refusingCut', 'restart'], 10],
    [26284968, ['rack', 'silentCut', 'refusingCut', 'restart'], 500]
  ] as const
  for (const [seed, troubles, crashAfterMs] of days) await checkDay(seed, troubles, crashAfterMs).catch((error: Error) => { failed.push(error.message) })
  if (failed.length > 0) throw new Error(failed.join('; '))
})

test.run()
