// Installs dependencies and builds all packages, skipping steps that are up to date.
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'
import { join } from 'node:path'

const root = join(import.meta.dirname, '..')
const LOCK_FILE = join(root, 'package-lock.json')
const INSTALLED_LOCK_FILE = join(root, 'node_modules', '.package-lock.json')

function runStep (command, args) {
  const result = spawnSync(command, args, { cwd: root, stdio: ['ignore', 'inherit', 'inherit'] })
  if (result.status !== 0) process.exit(result.status ?? 1)
}

function isInstalled () {
  return existsSync(INSTALLED_LOCK_FILE) && statSync(INSTALLED_LOCK_FILE).mtimeMs >= statSync(LOCK_FILE).mtimeMs
}

/** Ensures that all packages are installed and built; exits the process if a step fails. */
export function setUp () {
  if (!isInstalled()) runStep('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error'])
  runStep(process.execPath, [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b'])
}
