/** `npm run bench`: benchmarks the scheduler against baselines on seeded arrivals. */
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { formatReport } from '../bench/report.js'
import { CASES, CONDITIONS, createBenchCells, createSchedulerFactories, runBenchCell, type CaseResult } from '../bench/runCase.js'

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run bench --')
  .option('case', { choices: CASES, array: true, describe: 'benchmark cases to run (default: all)' })
  .option('condition', { choices: CONDITIONS, array: true, describe: 'load and fault conditions to run (default: all)' })
  .option('seed', { type: 'number', default: 7, describe: 'seed for arrivals and faults' })
  .option('quick', { type: 'boolean', default: false, describe: 'shorten the runs' })
  .option('baseline', { type: 'boolean', default: true, describe: 'also run the first-fit baseline' })
  .option('earlier', { type: 'string', describe: 'path to an earlier build of packages/core/dist/index.js to compare against' })
  .option('json', { type: 'boolean', default: false, describe: 'print all results as JSON' })
  .option('plot', { type: 'string', describe: 'directory for SVG plots, such as dist/bench' })
  .option('memory', { type: 'boolean', default: false, describe: 'measure heap usage of fully loaded cells instead' })
  .option('live', { type: 'boolean', default: false, describe: 'benchmark real processes on loopback instead' })
  .option('workers', { type: 'number', default: 33, describe: 'number of workers with --live' })
  .option('entries', { type: 'number', default: 7, describe: 'number of entries with --live' })
  .example('npm run bench -- --case night --condition overload', 'run a single case')
  .strict()
  .parseAsync()

if (options.live) {
  const { formatLive, runLive } = await import('../bench/live.js')
  const result = await runLive({ workers: options.workers, entries: options.entries, partMs: options.quick ? 6000 : 15_000 })
  console.log(options.json ? JSON.stringify(result, undefined, 1) : formatLive(result))
  process.exit(0)
}

if (options.memory) {
  const { measureMemory, formatMemory } = await import('../bench/memory.js')
  const results = measureMemory()
  console.log(options.json ? JSON.stringify(results, undefined, 1) : formatMemory(results))
  process.exit(0)
}

const factories = await createSchedulerFactories(options.earlier, options.baseline)
const results: CaseResult[] = []
for (const name of options.case ?? CASES) {
  const conditions = options.condition ?? (name === 'growth' ? ['overload' as const] : CONDITIONS)
  for (const cell of createBenchCells(name, options.quick)) {
    for (const condition of conditions) {
      const comparedFactories = name === 'growth' ? new Map([...factories].slice(0, 1)) : factories
      results.push(...runBenchCell(cell, condition, options.seed, comparedFactories))
      if (!options.json) console.error(`finished ${cell.name} ${condition}`)
    }
  }
}
if (options.plot !== undefined) {
  const { writePlots } = await import('../bench/plot.js')
  await writePlots(options.plot, results)
}
console.log(options.json ? JSON.stringify({ seed: options.seed, results }, undefined, 1) : formatReport(results, options.seed))
