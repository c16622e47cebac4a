// Installs and builds what is missing, runs every compiled spec file in a separate process and prints a summary line.
// With arguments, runs only the spec files whose path contains at least one of them.
import { spawn } from 'node:child_process'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { join, relative } from 'node:path'
import { setUp } from './setup.mjs'

const root = join(import.meta.dirname, '..')
const MAX_PARALLEL_FILES = 4
const FILE_TIMEOUT_MS = 240_000
const KNOWN_FAILURES_FILE = join(root, 'KNOWN-RED.txt')

function findSpecs () {
  const found = []
  const folders = readdirSync(join(root, 'packages')).map((name) => join('packages', name))
  for (const folder of [...folders, 'platform']) {
    const dist = join(root, folder, 'dist')
    if (!existsSync(dist)) continue
    for (const file of readdirSync(dist, { recursive: true })) {
      if (file.endsWith('.spec.js')) found.push(relative(root, join(dist, file)))
    }
  }
  return found
}

/** Returns whether the source of a compiled spec still exists; stale build output is skipped. */
function hasSource (spec) {
  return existsSync(join(root, spec.replace('/dist/', '/src/').replace(/\.js$/, '.ts')))
}

function runSpec (spec) {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [join(root, spec)], { cwd: root, env: { ...process.env, FORCE_COLOR: '0', NO_COLOR: '1' } })
    let output = ''
    const timer = setTimeout(() => {
      output += `\nkilled: did not finish within ${FILE_TIMEOUT_MS} ms\n`
      child.kill('SIGKILL')
    }, FILE_TIMEOUT_MS)
    child.stdout.on('data', (chunk) => { output += chunk })
    child.stderr.on('data', (chunk) => { output += chunk })
    child.on('exit', (code) => {
      clearTimeout(timer)
      resolve({ spec, code, output })
    })
  })
}

/** Parses the test counts of a spec file; one that exits without a summary counts as one failure. */
function countTests ({ spec, code, output }) {
  const total = /Total:\s+(\d+)/.exec(output)
  const passed = /Passed:\s+(\d+)/.exec(output)
  if (!total || !passed) return { passed: 0, failures: [`${spec}: exited with code ${code} before its summary`] }
  const names = [...output.matchAll(/FAIL {2}(.+)/g)].map((match) => `${spec}: ${match[1].trim()}`)
  const failed = Number(total[1]) - Number(passed[1])
  while (names.length < failed) names.push(`${spec}: unnamed failure`)
  if (failed === 0 && code !== 0) names.push(`${spec}: exit code ${code}`)
  return { passed: Number(passed[1]), failures: names }
}

/** Reads the `test: <substring of the failure line>` entries of KNOWN-RED.txt. */
function readKnownFailures () {
  if (!existsSync(KNOWN_FAILURES_FILE)) return []
  return [...readFileSync(KNOWN_FAILURES_FILE, 'utf8').matchAll(/^test: (.+)$/gm)].map((match) => match[1].trim())
}

setUp()
const filters = process.argv.slice(2)
const specs = findSpecs().filter(hasSource).filter((spec) => filters.length === 0 || filters.some((filter) => spec.includes(filter))).sort()
const queue = [...specs]
let passed = 0
const failures = []
await Promise.all(Array.from({ length: MAX_PARALLEL_FILES }, async () => {
  for (let spec = queue.shift(); spec; spec = queue.shift()) {
    const result = await runSpec(spec)
    const counted = countTests(result)
    passed += counted.passed
    failures.push(...counted.failures)
    console.log(`${counted.failures.length === 0 ? 'ok  ' : 'FAIL'} ${spec} (${counted.passed} passed)`)
    if (counted.failures.length > 0) console.log(result.output)
  }
}))
const knownFailures = readKnownFailures()
const isKnown = (failure) => knownFailures.some((name) => failure.includes(name))
for (const failure of failures) console.log(`${isKnown(failure) ? 'known red' : 'failed'}: ${failure}`)
const unexpected = failures.filter((failure) => !isKnown(failure))
console.log(`${passed} passed, ${unexpected.length} failed`)
process.exit(unexpected.length > 0 || passed === 0 ? 1 : 0)
