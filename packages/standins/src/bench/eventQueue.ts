/** Priority queue of simulation events, ordered by time and then by insertion. */
interface QueuedEvent<T> { readonly atMs: number, readonly sequence: number, readonly event: T }

/** Priority queue on a binary heap. */
export interface EventQueue<T> {
  addEvent: (atMs: number, event: T) => void
  /** Time of the next event, or `Infinity` if the queue is empty. */
  readNextMs: () => number
  takeNext: () => T | undefined
}

export function createEventQueue<T> (): EventQueue<T> {
  const heap: QueuedEvent<T>[] = []
  let sequence = 0

  const isBefore = (a: QueuedEvent<T>, b: QueuedEvent<T>): boolean =>
    a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence)

  const moveUp = (start: number): void => {
    let child = start
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (!isBefore(heap[child]!, heap[parent]!)) return
      swap(heap, child, parent)
      child = parent
    }
  }

  const moveDown = (): void => {
    let parent = 0
    for (;;) {
      const left = 2 * parent + 1
      if (left >= heap.length) return
      const right = left + 1
      const child = right < heap.length && isBefore(heap[right]!, heap[left]!) ? right : left
      if (!isBefore(heap[child]!, heap[parent]!)) return
      swap(heap, child, parent)
      parent = child
    }
  }

  return {
    addEvent: (atMs, event) => {
      heap.push({ atMs, sequence: sequence++, event })
      moveUp(heap.length - 1)
    },
    readNextMs: () => heap[0]?.atMs ?? Infinity,
    takeNext: () => {
      const first = heap[0]
      const last = heap.pop()
      if (!first || !last) return undefined
      if (heap.length > 0) {
        heap[0] = last
        moveDown()
      }
      return first.event
    }
  }
}

function swap<T> (items: T[], a: number, b: number): void {
  const item = items[a]!
  items[a] = items[b]!
  items[b] = item
}
