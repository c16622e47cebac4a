/** Process that hosts worker stand-ins; standard input gets their specifications as one line of JSON. */
import { createInterface } from 'node:readline'
import { endWithParent, reportReady } from '../standinProcess.js'
import { startWorkerHost, type WorkerSpec } from '../workerHost.js'

const lines = createInterface({ input: process.stdin })
lines.once('line', (line) => {
  startWorkerHost(JSON.parse(line) as WorkerSpec[]).then((host) => {
    endWithParent(host.stop)
    reportReady({ controlAddress: host.controlAddress, vms: host.vms })
  }, (error: unknown) => {
    process.stderr.write(`workers cannot start: ${String(error)}\n`)
    process.exit(1)
  })
})
