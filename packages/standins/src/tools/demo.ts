/** `npm run demo`: runs both deployments of the brief on this machine and says what was kept. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import type { Cluster } from '../cluster.js'
import { runDemo } from '../demo.js'
import { createDalisayDeployment, createTancoparDeployment } from '../deployment.js'
import { formatDemoReport } from '../demoReport.js'

const EXIT_BROKEN = 1

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run demo --')
  .option('keep', { type: 'boolean', default: false, describe: 'leave both clusters up and print commands to try' })
  .option('rate', { type: 'number', default: 12, describe: 'requests a second to each deployment' })
  .example('npm run demo -- --keep', 'go on by hand after the demo')
  .strict()
  .parseAsync()

const startedMs = performance.now()

function say (cell: string, text: string): void {
  const seconds = ((performance.now() - startedMs) / 1000).toFixed(1).padStart(6)
  console.log(`${seconds} s  ${cell.padEnd(9)} ${text}`)
}

/** Commands that work while the clusters are up. */
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

const ends = await Promise.all([createTancoparDeployment(), createDalisayDeployment()].map((deployment) => runDemo({
  deployment, perS: options.rate, say: (text) => say(deployment.cell, text)
})))
const results = ends.map((end) => end.result)
console.log(`\n${formatDemoReport(results)}`)
if (options.keep) {
  console.log(`\n${ends.map((end) => formatCommands(end.cluster)).join('\n')}\n\nCtrl-C ends both clusters.`)
  await waitForInterrupt()
}
const killed = (await Promise.all(ends.map((end) => end.cluster.stop()))).flat()
for (const name of killed) console.log(`FAILED ${name} did not end by itself within the time of a planned stop`)
const isKept = killed.length === 0 && results.every((result) => result.violations.length === 0 && result.failures.length === 0)
console.log(`\n${isKept ? 'Every promise was kept' : 'A promise was broken'} (${((performance.now() - startedMs) / 1000).toFixed(0)} s)`)
process.exit(isKept ? 0 : EXIT_BROKEN)
