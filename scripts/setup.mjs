// Installs the dependencies and builds all packages, doing only what is not done yet.
import { spawnSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'
import { join } from 'node:path'

const root = join(import.meta.dirname, '..')
const LOCK_FILE = join(root, 'package-lock.json')
const INSTALL_MARK = join(root, 'node_modules', '.package-lock.json')

function runStep (command, args) {
  const result = spawnSync(command, args, { cwd: root, stdio: ['ignore', 'inherit', 'inherit'] })
  if (result.status !== 0) process.exit(result.status ?? 1)
}

function isInstalled () {
  return existsSync(INSTALL_MARK) && statSync(INSTALL_MARK).mtimeMs >= statSync(LOCK_FILE).mtimeMs
}

/** Makes the built packages available; ends the process if a step fails. */
export function setUp () {
  if (!isInstalled()) runStep('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error'])
  runStep(process.execPath, [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b'])
}
