/** Validation errors of TOML files and manifests, as shown to operators. */
import * as Result from 'effect/Result'
import * as Schema from 'effect/Schema'
import { makeFormatterStandardSchemaV1 } from 'effect/SchemaIssue'
import { err, ok, type Result as Outcome } from 'neverthrow'
import { parse, TomlError } from 'smol-toml'
import { findLine, formatPath, type PathSegment } from './tomlPath.js'
import { findSimilarName } from './similarName.js'
import { listFieldNames } from './schemaField.js'

/** One validation error: where it is, what is wrong and how to fix it. */
export interface ConfigFault {
  /** Path of the option, such as `teams[0].share`; empty for the whole text. */
  readonly path: string
  /** Line number, from 1, if known. */
  readonly line?: number
  readonly message: string
  readonly mend: string
}

const MAX_VALUE_LENGTH = 64
/** Fields that may contain a key pasted by mistake; their values are never shown. */
const SECRET_FIELD_PATTERN = /key|sha256|secret|token|password/i

const formatIssues = makeFormatterStandardSchemaV1()

/** Formats a fault as one line of text. */
export function formatFault (fault: ConfigFault, file?: string): string {
  const place = [file, fault.line].filter((part) => part !== undefined).join(':')
  const option = fault.path === '' ? '' : `${fault.path}: `
  return `${place === '' ? '' : `${place}: `}${option}${fault.message}; ${fault.mend}`
}

/** Creates a fault at a path; its line is looked up in `text` if given. */
export function createFault (path: readonly PathSegment[], message: string, mend: string, text?: string): ConfigFault {
  const line = text === undefined ? undefined : findLine(text, path)
  return { path: formatPath(path), ...(line === undefined ? {} : { line }), message, mend }
}

/** Parses TOML; a syntax error is returned as one fault with its line. */
export function parseToml (text: string): Outcome<unknown, ConfigFault[]> {
  try {
    return ok(parse(text))
  } catch (error) {
    if (!(error instanceof Error)) throw error
    const line = error instanceof TomlError ? { line: error.line } : {}
    // Further lines of the message quote the input, which may contain a key.
    const message = (error.message.split('\n')[0] ?? '').replace(/^Invalid TOML document: /, '')
    return err([{ path: '', ...line, message: `not valid TOML: ${message}`, mend: 'correct the syntax at this line' }])
  }
}

/**
 * Decodes an input against a schema and reports all faults at once.
 *
 * @param text TOML text of the input, to look up line numbers
 */
export function decodeWithFaults<S extends Schema.ConstraintDecoder<unknown, never>> (
  schema: S, input: unknown, text?: string
): Outcome<S['Type'], ConfigFault[]> {
  const decoded = Schema.decodeUnknownResult(schema, { errors: 'all', onExcessProperty: 'error' })(input)
  if (Result.isSuccess(decoded)) return ok(decoded.success)
  const issues = formatIssues(decoded.failure.issue).issues
  return err(issues.map((issue) => createIssueFault(schema.ast, input, text, issue.message, readPath(issue.path))))
}

function readPath (path: readonly unknown[] | undefined): PathSegment[] {
  return (path ?? []).map((segment) => {
    const key = typeof segment === 'object' && segment !== null && 'key' in segment ? segment.key : segment
    return typeof key === 'number' ? key : String(key)
  })
}

function createIssueFault (
  ast: unknown, input: unknown, text: string | undefined, message: string, path: PathSegment[]
): ConfigFault {
  const name = path.at(-1)
  const siblings = listFieldNames(ast, path.slice(0, -1))
  if (message === 'Missing key') {
    return createFault(path, 'missing', `add \`${name} = ...\``, text)
  }
  if (message === 'Expected no excess property') {
    const similar = findSimilarName(String(name), siblings)
    const mend = similar === undefined ? `remove it; known here: ${siblings.join(', ')}` : `did you mean \`${similar}\`?`
    return createFault(path, 'unknown option', mend, text)
  }
  const expected = message.replace(/^Expected /, '')
  return createFault(path, `${formatValue(pickValue(input, path), path)} does not fit`, `use ${expected}`, text)
}

function pickValue (input: unknown, path: readonly PathSegment[]): unknown {
  let value = input
  for (const segment of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<PathSegment, unknown>)[segment]
  }
  return value
}

function formatValue (value: unknown, path: readonly PathSegment[]): string {
  if (value === undefined || value === null) return 'the value'
  if (Array.isArray(value)) return 'an array'
  if (typeof value === 'object') return 'a table'
  if (path.some((segment) => typeof segment === 'string' && SECRET_FIELD_PATTERN.test(segment))) return 'the value'
  const shown = typeof value === 'string' ? JSON.stringify(value) : String(value)
  return shown.length > MAX_VALUE_LENGTH ? `${shown.slice(0, MAX_VALUE_LENGTH)}…` : shown
}
