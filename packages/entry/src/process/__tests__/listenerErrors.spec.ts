/** Listeners that fail to accept connections while the process runs. */
import { createServer } from 'node:net'
import { createMemoryEventLog } from '@fuchsiatally/core/testing/memoryEventLog'
import { createSeededRandom } from '@fuchsiatally/core/testing/seededRandom'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPeerMesh } from '../../link/peerMesh.js'
import { handleListenerErrors } from '../listenerErrors.js'
import { createSystemClock } from '../systemClock.js'

// Guards against a process that ends because one connection could not be accepted.
test('every error of a listener is logged and none ends the process', () => {
  const log = createMemoryEventLog()
  const listener = createServer()
  handleListenerErrors(listener, log, '127.0.0.1:1')
  for (let error = 0; error < 3; error++) listener.emit('error', new Error('accept EMFILE'))
  assert.equal(log.listFields('FT112'), Array.from({ length: 3 }, () => ({ address: '127.0.0.1:1', message: 'accept EMFILE' })))
})

test('a link listener that cannot be opened is an error of the start', async () => {
  const occupied = createServer()
  await new Promise<void>((resolve) => { occupied.listen(0, '127.0.0.1', resolve) })
  const { port } = occupied.address() as { port: number }
  const mesh = createPeerMesh({
    self: { entry: 'a', incarnation: 'a-1', failureDomain: 'd' }, host: '127.0.0.1', port, clock: createSystemClock(), random: createSeededRandom(1), log: createMemoryEventLog(), listSessions: () => []
  })
  assert.is((await mesh.start())._unsafeUnwrapErr().kind, 'listenFailed')
  await mesh.stop()
  await new Promise((resolve) => { occupied.close(resolve) })
})

test.run()
