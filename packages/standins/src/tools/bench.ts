/** `npm run bench`: measures the scheduler's decisions against baselines with seeded arrivals. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { formatReport } from '../bench/report.js'
import { CASES, CONDITIONS, createCells, createFactories, runCell, type CaseResult } from '../bench/runCase.js'

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run bench --')
  .option('case', { choices: CASES, array: true, describe: 'cases to run; all by default' })
  .option('condition', { choices: CONDITIONS, array: true, describe: 'conditions to run; all by default' })
  .option('seed', { type: 'number', default: 7, describe: 'seed of arrivals and faults' })
  .option('quick', { type: 'boolean', default: false, describe: 'shorter runs' })
  .option('baseline', { type: 'boolean', default: true, describe: 'run the first-fit baseline too' })
  .option('earlier', { type: 'string', describe: 'path of an earlier build of packages/core/dist/index.js to compare with' })
  .option('json', { type: 'boolean', default: false, describe: 'print all figures as JSON' })
  .option('plot', { type: 'string', describe: 'folder to write SVG plots into, such as dist/bench' })
  .option('memory', { type: 'boolean', default: false, describe: 'measure the memory of a full cell by size instead' })
  .option('live', { type: 'boolean', default: false, describe: 'measure real processes on loopback instead' })
  .option('workers', { type: 'number', default: 33, describe: 'workers of the live run' })
  .option('entries', { type: 'number', default: 7, describe: 'entries of the live run' })
  .example('npm run bench -- --case night --condition overload', 'one case')
  .strict()
  .parseAsync()

if (options.live) {
  const { formatLive, runLive } = await import('../bench/live.js')
  const result = await runLive({ workers: options.workers, entries: options.entries, partMs: options.quick ? 6000 : 15_000 })
  console.log(options.json ? JSON.stringify(result, undefined, 1) : formatLive(result))
  process.exit(0)
}

if (options.memory) {
  const { computeMemory, formatMemory } = await import('../bench/memory.js')
  const results = computeMemory()
  console.log(options.json ? JSON.stringify(results, undefined, 1) : formatMemory(results))
  process.exit(0)
}

const factories = await createFactories(options.earlier, options.baseline)
const results: CaseResult[] = []
for (const name of options.case ?? CASES) {
  const conditions = options.condition ?? (name === 'growth' ? ['overload' as const] : CONDITIONS)
  for (const cell of createCells(name, options.quick)) {
    for (const condition of conditions) {
      const compared = name === 'growth' ? new Map([...factories].slice(0, 1)) : factories
      results.push(...runCell(cell, condition, options.seed, compared))
      if (!options.json) console.error(`ran ${cell.name} ${condition}`)
    }
  }
}
if (options.plot !== undefined) {
  const { writePlots } = await import('../bench/plot.js')
  await writePlots(options.plot, results)
}
console.log(options.json ? JSON.stringify({ seed: options.seed, results }, undefined, 1) : formatReport(results, options.seed))
