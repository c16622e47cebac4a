/** The pages of docs/ that mirror the code are up to date. */
import { readdirSync, readFileSync } from 'node:fs'
import { listOptionPaths, Manifest, ProcessSettings, SETTINGS_DEFAULTS } from '@fuchsiatally/core'
import ts from 'typescript'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { eventRegistry } from '../allEvents.js'
import { renderEventsPage } from '../renderEvents.js'

const ROOT = new URL('../../../../../', import.meta.url)
const PACKAGES = ['core', 'table', 'entry', 'cli']

function readPage (name: string): string {
  return readFileSync(new URL(`docs/${name}`, ROOT), 'utf8')
}

function listSources (): string[] {
  return PACKAGES.flatMap((name) => {
    const files = readdirSync(new URL(`packages/${name}/src`, ROOT), { recursive: true }) as string[]
    return files.filter((file) => file.endsWith('.ts') && !/__tests__|testing\//.test(file)).map((file) => `packages/${name}/src/${file}`)
  })
}

test('docs/EVENTS.md is what scripts/renderEvents.mjs renders, from all event modules', () => {
  const loaded = readFileSync(new URL('packages/entry/src/telemetry/allEvents.ts', ROOT), 'utf8')
  for (const file of listSources()) {
    if (!/^export const \w+ = defineEvent\(/m.test(readFileSync(new URL(file, ROOT), 'utf8'))) continue
    const name = file.replace(/^packages\/\w+\/src\//, '').replace(/\.ts$/, '')
    assert.ok(loaded.includes(`/${name.replace(/^telemetry\//, '')}`), `${file} is not loaded by allEvents.ts`)
  }
  for (const { id } of eventRegistry) assert.ok(readPage('EVENTS.md').includes(`| ${id} |`), `${id} has no row`)
  assert.is(readPage('EVENTS.md'), renderEventsPage(eventRegistry), 'run node scripts/renderEvents.mjs')
})

test('docs/CONFIG.md has a row for every option, with its default', () => {
  const page = readPage('CONFIG.md')
  for (const path of [...listOptionPaths(ProcessSettings.ast), ...listOptionPaths(Manifest.ast)]) {
    assert.ok(page.includes(`| \`${path}\` |`), `no row for ${path}`)
  }
  const { log, limits, outageToleranceMs } = SETTINGS_DEFAULTS
  const defaults = { outageToleranceMs, 'log.level': log.level, 'log.format': log.format }
  for (const [name, value] of Object.entries(limits)) Object.assign(defaults, { [`limits.${name}`]: value })
  for (const [path, value] of Object.entries(defaults)) {
    const row = page.split('\n').find((line) => line.startsWith(`| \`${path}\` |`)) ?? ''
    assert.is(row.split('|')[4]?.trim(), `\`${value}\``, `default of ${path}`)
  }
})

/** Lists the names of all functions of a file, including inner ones. */
function listFunctionNames (file: string): string[] {
  const source = ts.createSourceFile(file, readFileSync(new URL(file, ROOT), 'utf8'), ts.ScriptTarget.ES2023)
  const names: string[] = []
  const visit = (node: ts.Node): void => {
    const isNamed = ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node)
    const isArrow = ts.isVariableDeclaration(node) && node.initializer !== undefined && ts.isArrowFunction(node.initializer)
    if ((isNamed || isArrow) && node.name !== undefined && ts.isIdentifier(node.name)) names.push(node.name.text)
    ts.forEachChild(node, visit)
  }
  visit(source)
  return names
}

test('every function begins with a verb of docs/verbs.md', () => {
  const verbs = new Set([...readPage('verbs.md').matchAll(/^\| `([a-z]+)` \|/gm)].map((match) => match[1]))
  const violations: string[] = []
  for (const file of listSources()) {
    for (const name of listFunctionNames(file)) {
      if (!verbs.has(/^[a-z]+/.exec(name)?.[0] ?? '')) violations.push(`${file}: ${name}`)
    }
  }
  assert.equal(violations, [], 'rename the function, or add the verb to docs/verbs.md')
})

test.run()
