/** Process entry point of the simulated platform; the first argument is its options as JSON. */
import { type PlatformServerOptions, startPlatformServer } from '../platformServer.js'
import { stopWithParent, readOptions, notifyReady } from '../standinProcess.js'

const server = await startPlatformServer(readOptions<PlatformServerOptions>())
stopWithParent(server.stop)
notifyReady({ address: server.address })
