/** Reads and validates manifest, settings and job files; reports all faults of a file at once. */
import { readFileSync } from 'node:fs'
import {
  createFault, decodeManifest, decodeWithFaults, formatFault, JobSpec, parseToml, resolveSettings,
  type ConfigFault, type Manifest
} from '@fuchsiatally/core'
import { err, ok, type Result } from 'neverthrow'
import type { CliFailure } from './entryClient.js'
import { EXIT_CODES } from './exitCodes.js'

/** Kind of an input file. */
export type InputKind = 'manifest' | 'settings' | 'job'

/** Text of a file and the data parsed from it. */
interface ParsedFile {
  readonly text: string
  readonly data: unknown
}

/** Reads and validates a manifest file. */
export function readManifestFile (path: string): Result<Manifest, CliFailure> {
  return parseFile(path).andThen(({ text, data }) => decodeManifest(data, text)).mapErr((faults) => createFileFailure(path, faults))
}

/** Reads and validates a job file. */
export function readJobFile (path: string): Result<JobSpec, CliFailure> {
  return parseFile(path).andThen(({ text, data }) => decodeWithFaults(JobSpec, data, text)).mapErr((faults) => createFileFailure(path, faults))
}

/** Validates a file of any kind; the kind is inferred from the options it contains, and any other file counts as a manifest. */
export function checkFile (path: string): { readonly kind: InputKind, readonly faults: readonly ConfigFault[] } {
  const parsed = parseFile(path)
  if (parsed.isErr()) return { kind: 'manifest', faults: parsed.error }
  const { text, data } = parsed.value
  const kind = findKind(data)
  return { kind, faults: listFaults(kind, text, data) }
}

function listFaults (kind: InputKind, text: string, data: unknown): readonly ConfigFault[] {
  if (kind === 'settings') return resolveSettings(text).match(() => [], (faults) => faults)
  if (kind === 'job') return decodeWithFaults(JobSpec, data, text).match(() => [], (faults) => faults)
  return decodeManifest(data, text).match(() => [], (faults) => faults)
}

function findKind (data: unknown): InputKind {
  if (typeof data !== 'object' || data === null) return 'manifest'
  if ('httpAddress' in data || 'linkAddress' in data || 'platformAddress' in data) return 'settings'
  if ('taskCount' in data || 'runTimeMs' in data || 'kind' in data) return 'job'
  return 'manifest'
}

function parseFile (path: string): Result<ParsedFile, ConfigFault[]> {
  const text = readText(path)
  if (text.isErr()) return err(text.error)
  const parsed = path.endsWith('.json') ? parseJson(text.value) : parseToml(text.value)
  return parsed.map((data) => ({ text: text.value, data }))
}

function readText (path: string): Result<string, ConfigFault[]> {
  try {
    return ok(readFileSync(path === '-' ? 0 : path, 'utf8'))
  } catch (error) {
    const code = error instanceof Error && 'code' in error ? String(error.code) : 'unreadable'
    return err([createFault([], `cannot be read (${code})`, 'name a readable file, or - for standard input')])
  }
}

function parseJson (text: string): Result<unknown, ConfigFault[]> {
  try {
    return ok(JSON.parse(text))
  } catch {
    return err([createFault([], 'not valid JSON', 'correct the syntax')])
  }
}

function createFileFailure (path: string, faults: readonly ConfigFault[]): CliFailure {
  const message = faults.map((fault) => formatFault(fault, path)).join('\n')
  return { exitCode: EXIT_CODES.badConfig, message: `${faults.length} fault${faults.length === 1 ? '' : 's'}\n${message}`, problem: { faults } }
}
