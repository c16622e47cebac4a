/** `npm run demo`: runs both example deployments on this host, injects faults and reports which invariants held. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import type { Cluster } from '../cluster.js'
import { runDemo } from '../demo.js'
import { createDalisayDeployment, createTancoparDeployment } from '../deployment.js'
import { formatDemoReport } from '../demoReport.js'

const EXIT_FAILURE = 1

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run demo --')
  .option('keep', { type: 'boolean', default: false, describe: 'keep both clusters running and print commands to try' })
  .option('rate', { type: 'number', default: 12, describe: 'requests per second sent to each deployment' })
  .example('npm run demo -- --keep', 'try commands on the clusters after the demo')
  .strict()
  .parseAsync()

const startedMs = performance.now()

function writeProgress (cell: string, text: string): void {
  const seconds = ((performance.now() - startedMs) / 1000).toFixed(1).padStart(6)
  console.log(`${seconds} s  ${cell.padEnd(9)} ${text}`)
}

/** Formats commands that can be run while the cluster is up. */
function formatCommands (cluster: Cluster): string {
  const address = cluster.entries[0]!.httpAddress
  const [team, grant] = [...cluster.deployment.keys][0]!
  const service = cluster.deployment.manifest.services[0]!.name
  return [
    `${cluster.deployment.cell} (platform ${cluster.platformAddress}):`,
    `  export FUCHSIATALLY_ENTRY=${address} FUCHSIATALLY_OPERATOR_KEY=${cluster.operatorKey}`,
    `  export FUCHSIATALLY_KEY=${grant.key}   # of team ${team}`,
    `  npx fuchsiatally request ${service} /work --method POST --data hello`,
    '  npx fuchsiatally submit examples/job.toml',
    '  npx fuchsiatally status',
    '  npx fuchsiatally team',
    '  npx fuchsiatally config status',
    `  curl -i http://${address}/readyz`,
    `  curl -s http://${address}/metrics`
  ].join('\n')
}

function waitForInterrupt (): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve())
    process.once('SIGTERM', () => resolve())
  })
}

const demoRuns = await Promise.all([createTancoparDeployment(), createDalisayDeployment()].map((deployment) => runDemo({
  deployment, requestsPerS: options.rate, log: (text) => writeProgress(deployment.cell, text)
})))
const results = demoRuns.map((demoRun) => demoRun.result)
console.log(`\n${formatDemoReport(results)}`)
if (options.keep) {
  console.log(`\n${demoRuns.map((demoRun) => formatCommands(demoRun.cluster)).join('\n')}\n\nPress Ctrl-C to stop both clusters.`)
  await waitForInterrupt()
}
const uncleanExits = (await Promise.all(demoRuns.map((demoRun) => demoRun.cluster.stop()))).flat()
for (const name of uncleanExits) console.log(`FAILED ${name} did not exit with code 0 after SIGTERM`)
const hasPassed = uncleanExits.length === 0 && results.every((result) => result.violations.length === 0 && result.failures.length === 0)
console.log(`\n${hasPassed ? 'All invariants held and every step succeeded' : 'Invariants were violated or steps failed'} (${((performance.now() - startedMs) / 1000).toFixed(0)} s)`)
process.exit(hasPassed ? 0 : EXIT_FAILURE)
