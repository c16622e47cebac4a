/** `npm run fuzz`: runs the property-based tests with random seeds for a given time. */
import { spawn } from 'node:child_process'
import { randomInt } from 'node:crypto'
import { readdirSync, readFileSync } from 'node:fs'
import { join, relative } from 'node:path'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { listBuildFolders } from './workspacePackages.js'

const ROOT = join(import.meta.dirname, '..', '..', '..', '..')
const MAX_SEED = 2 ** 31 - 1
const MS_PER_MINUTE = 60_000
/** Factor on the number of runs of each property; below 1, so that more seeds are covered in the given time. */
const RUN_FACTOR = 0.5

/** A compiled spec file that reads its seed from the environment. */
interface FuzzTarget {
  readonly file: string
  runs: number
  failures: number
}

function findTargets (directories: readonly string[], pathPart: string): FuzzTarget[] {
  const targets: FuzzTarget[] = []
  for (const directory of directories) {
    for (const path of readdirSync(directory, { recursive: true, encoding: 'utf8' })) {
      const file = join(directory, path)
      if (!path.endsWith('.spec.js') || !file.includes(pathPart)) continue
      if (readFileSync(file, 'utf8').includes('resolveFuzzOptions(')) targets.push({ file, runs: 0, failures: 0 })
    }
  }
  return targets
}

function runTarget (target: FuzzTarget, seed: number): Promise<void> {
  return new Promise((resolve) => {
    const env = { ...process.env, FUZZ_SEED: String(seed), FUZZ_FACTOR: String(RUN_FACTOR), NO_COLOR: '1', FORCE_COLOR: '0' }
    const child = spawn(process.execPath, [target.file], { env })
    let output = ''
    child.stdout.on('data', (chunk) => { output += chunk })
    child.stderr.on('data', (chunk) => { output += chunk })
    child.on('exit', (code) => {
      target.runs += 1
      if (code !== 0) {
        target.failures += 1
        process.stdout.write(`FAILED ${target.file}\n  reproduce with: FUZZ_SEED=${seed} FUZZ_FACTOR=${RUN_FACTOR} node ${target.file}\n${output}\n`)
      }
      resolve()
    })
  })
}

async function runTargetsUntil (targets: readonly FuzzTarget[], firstIndex: number, endMs: number, chooseSeed: () => number): Promise<void> {
  for (let index = firstIndex; Date.now() < endMs; index += 1) {
    const seed = chooseSeed()
    await runTarget(targets[index % targets.length]!, seed)
  }
}

const args = await yargs(hideBin(process.argv))
  .scriptName('npm run fuzz --')
  .option('minutes', { type: 'number', default: 5, describe: 'duration in minutes' })
  .option('seed', { type: 'number', describe: 'run each file once, with this seed' })
  .option('part', { type: 'string', default: '', describe: 'run only spec files whose path contains this text' })
  .option('lanes', { type: 'number', default: 3, describe: 'number of files to run in parallel' })
  .example('$0 --minutes 20', 'fuzz for twenty minutes')
  .strict()
  .parse()

const directories = listBuildFolders(ROOT)
if (directories.isErr()) {
  process.stderr.write(`${directories.error}\n`)
  process.exit(2)
}
const targets = findTargets(directories.value, args.part)
if (targets.length === 0) {
  process.stderr.write(`no property-based spec file matches --part ${args.part}\n`)
  process.exit(2)
}
if (args.seed !== undefined) {
  for (const target of targets) await runTarget(target, args.seed)
} else {
  const firstSeed = randomInt(MAX_SEED)
  process.stdout.write(`first seed ${firstSeed}, incremented for each run\n`)
  let nextSeed = firstSeed
  const endMs = Date.now() + args.minutes * MS_PER_MINUTE
  const lanes = Array.from({ length: args.lanes }, (_, lane) => runTargetsUntil(targets, Math.floor(lane * targets.length / args.lanes), endMs, () => nextSeed++))
  await Promise.all(lanes)
}
for (const target of targets) process.stdout.write(`${target.failures === 0 ? 'ok  ' : 'FAIL'} ${relative(ROOT, target.file)}: ${target.runs} runs, ${target.failures} failed\n`)
const failures = targets.reduce((sum, target) => sum + target.failures, 0)
process.stdout.write(`${targets.reduce((sum, target) => sum + target.runs, 0)} runs, ${failures} failed\n`)
process.exit(failures === 0 ? 0 : 1)
