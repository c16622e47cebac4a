/** Bounds the lines that one kind of event may write a second; what exceeds them is summed up. */
import type { Clock } from '@fuchsiatally/core'

/** Lines a second of one event; at two-year size 110 runs start a second, and a new holder starts four times as many. */
const LINES_PER_S = 440
const SECOND_MS = 1000

/** Budget of all events. */
export interface LineBudget {
  /** Whether one more line of the event may be written. */
  trySpend: (event: string) => boolean
  /** Lines withheld by event in the seconds that have ended. */
  takeWithheld: () => ReadonlyMap<string, number>
}

/** Creates a budget that renews itself each second. */
export function createLineBudget (clock: Clock): LineBudget {
  let secondStartedMs = clock.nowMs()
  let spent = new Map<string, number>()
  let withheld = new Map<string, number>()
  return {
    trySpend: (event) => {
      if (clock.nowMs() - secondStartedMs >= SECOND_MS) {
        secondStartedMs = clock.nowMs()
        spent = new Map()
      }
      const count = (spent.get(event) ?? 0) + 1
      spent.set(event, count)
      if (count <= LINES_PER_S) return true
      withheld.set(event, (withheld.get(event) ?? 0) + 1)
      return false
    },
    takeWithheld: () => {
      const taken = withheld
      withheld = new Map()
      return taken
    }
  }
}
