/** Gathers what has to be released together. */
import type { Disposable } from './clock.js'

/** Disposables that share one end of life. */
export interface DisposableStore extends Disposable {
  /** Takes ownership; releases at once if the store is disposed already. */
  add: <T extends Disposable>(item: T) => T
}

/** Creates an empty store; disposing it releases its items, last added first. */
export function createDisposableStore (): DisposableStore {
  const items: Disposable[] = []
  let disposed = false
  return {
    add: (item) => {
      if (disposed) item.dispose()
      else items.push(item)
      return item
    },
    dispose: () => {
      disposed = true
      for (const item of items.splice(0).reverse()) item.dispose()
    }
  }
}
