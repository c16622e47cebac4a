/** Process entry point of the simulated platform; the first argument is its options as JSON. */
import { type PlatformServerOptions, startPlatformServer } from '../platformServer.js'
import { endWithParent, readOptions, reportReady } from '../standinProcess.js'

const server = await startPlatformServer(readOptions<PlatformServerOptions>())
endWithParent(server.stop)
reportReady({ address: server.address })
