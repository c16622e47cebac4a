/** Collection of resources that are released together. */
import type { Disposable } from './clock.js'

/** Disposables with a common lifetime. */
export interface DisposableStore extends Disposable {
  /** Takes ownership of an item, which is released at once if the store is already disposed. */
  add: <T extends Disposable>(item: T) => T
}

/** Creates an empty store; disposing it releases its items in reverse order of addition. */
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
