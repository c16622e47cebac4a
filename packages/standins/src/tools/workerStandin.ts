/** Process entry point of the simulated workers; reads their specifications from standard input as one line of JSON. */
import { createInterface } from 'node:readline'
import { stopWithParent, notifyReady } from '../standinProcess.js'
import { startWorkerHost, type WorkerSpec } from '../workerHost.js'

const lines = createInterface({ input: process.stdin })
lines.once('line', (line) => {
  startWorkerHost(JSON.parse(line) as WorkerSpec[]).then((host) => {
    stopWithParent(host.stop)
    notifyReady({ controlAddress: host.controlAddress, vms: host.vms })
  }, (error: unknown) => {
    process.stderr.write(`cannot start the simulated workers: ${String(error)}\n`)
    process.exit(1)
  })
})
