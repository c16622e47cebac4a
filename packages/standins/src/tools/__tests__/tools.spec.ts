/** Starts each tool of the workspace in its shortest form. */
import { spawnSync } from 'node:child_process'
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { listBuildFolders, listWorkspacePackages } from '../workspacePackages.js'

const ROOT = join(import.meta.dirname, '..', '..', '..', '..', '..')
const TIMEOUT_MS = 60_000
const RUN_TOOL = 'node scripts/runTool.mjs '

/** Arguments with which a tool ends within seconds. */
const SHORTEST_ARGUMENTS: Readonly<Record<string, readonly string[]>> = {
  demo: ['--help'],
  bench: ['--case', 'night', '--condition', 'calm', '--quick'],
  measureMembership: ['--help'],
  measureHolder: ['--help'],
  soak: ['--help'],
  fuzz: ['--seed', '831521754', '--part', 'frameCodec']
}

function runScript (script: string, args: readonly string[]) {
  return spawnSync(process.execPath, [join(ROOT, 'scripts', script), ...args], { encoding: 'utf8', timeout: TIMEOUT_MS })
}

// Guards against tools that end at once with an error: fuzz looked for a package under its former name, and no check started it.
test('each tool that package.json names starts and ends without an error', () => {
  const { scripts } = JSON.parse(readFileSync(join(ROOT, 'package.json'), 'utf8')) as { scripts: Record<string, string> }
  const tools = Object.values(scripts).filter((script) => script.startsWith(RUN_TOOL)).map((script) => script.slice(RUN_TOOL.length))
  assert.equal([...tools].sort(), Object.keys(SHORTEST_ARGUMENTS).sort())
  for (const tool of tools) {
    const { status, stderr } = runScript('runTool.mjs', [tool, ...SHORTEST_ARGUMENTS[tool]!])
    assert.is(status, 0, `${tool}: ${stderr}`)
  }
})

test('the bundle is built', () => {
  const { status, stderr } = runScript('bundle.mjs', [])
  assert.is(status, 0, stderr)
})

test('fuzz runs the files that match once with a given seed, and none of them is an error', () => {
  const found = runScript('runTool.mjs', ['fuzz', '--seed', '831521754', '--part', 'frameCodec'])
  assert.match(found.stdout, /\n1 runs, 0 failed\n/)
  const missing = runScript('runTool.mjs', ['fuzz', '--seed', '1', '--part', 'no such file'])
  assert.is(missing.status, 2)
  assert.match(missing.stderr, 'no property-based spec file matches --part no such file')
})

test('packages are found by the patterns of the workspace, and one that is not built is named with the command that builds it', () => {
  const root = mkdtempSync(join(tmpdir(), 'workspace-'))
  try {
    for (const folder of ['packages/a', 'packages/b', 'c']) mkdirSync(join(root, folder, 'dist'), { recursive: true })
    for (const folder of ['packages/a', 'packages/b', 'c']) writeFileSync(join(root, folder, 'package.json'), '{}')
    mkdirSync(join(root, 'packages', 'notAPackage'))
    writeFileSync(join(root, 'package.json'), JSON.stringify({ workspaces: ['packages/*', 'c'] }))
    assert.equal(listWorkspacePackages(root), ['packages/a', 'packages/b', 'c'].map((folder) => join(root, folder)))
    assert.is(listBuildFolders(root).unwrapOr([]).length, 3)
    rmSync(join(root, 'packages', 'b', 'dist'), { recursive: true })
    const unbuilt = listBuildFolders(root)
    assert.match(unbuilt.isErr() ? unbuilt.error : '', /packages\/b is not built: run `npm run build`/)
  } finally {
    rmSync(root, { recursive: true })
  }
})

test.run()
