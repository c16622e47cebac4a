/** Paths of options in TOML texts, and their line numbers. */

/** A table key or an array index. */
export type PathSegment = string | number

/** Formats a path, such as `teams[0].ceiling.requests`. */
export function formatPath (path: readonly PathSegment[]): string {
  let text = ''
  for (const segment of path) {
    if (typeof segment === 'number') text += `[${segment}]`
    else text += text === '' ? segment : `.${segment}`
  }
  return text
}

/**
 * Finds the line number of an option, from 1, or of the nearest enclosing table. Inline tables and arrays are located
 * by their first line; with multi-line strings, the result may be off by some lines.
 */
export function findLine (text: string, path: readonly PathSegment[]): number | undefined {
  const lines = collectLines(text)
  for (let length = path.length; length > 0; length--) {
    const line = lines.get(formatPath(path.slice(0, length)))
    if (line !== undefined) return line
  }
  return undefined
}

function collectLines (text: string): Map<string, number> {
  const lines = new Map<string, number>()
  const lengths = new Map<string, number>()
  let table = ''
  for (const [index, line] of text.split('\n').entries()) {
    const header = /^\s*(\[\[?)\s*([^\]]+?)\s*\]/.exec(line)
    const key = /^\s*((?:[A-Za-z0-9_-]+|"[^"]*")(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"[^"]*"))*)\s*=/.exec(line)
    if (header?.[2] !== undefined) table = resolveHeader(header[2], header[1] === '[[', lengths)
    const path = header ? table : key?.[1] === undefined ? undefined : formatChild(table, parseKeys(key[1]).join('.'))
    if (path !== undefined && !lines.has(path)) lines.set(path, index + 1)
  }
  return lines
}

/** Resolves a table header, adding the index of the last element to each array of tables along the path. */
function resolveHeader (header: string, opensElement: boolean, lengths: Map<string, number>): string {
  let path = ''
  const keys = parseKeys(header)
  for (const [index, key] of keys.entries()) {
    path = formatChild(path, key)
    const isLast = index === keys.length - 1
    if (isLast && opensElement) lengths.set(path, (lengths.get(path) ?? 0) + 1)
    const length = lengths.get(path)
    if (length !== undefined) path = `${path}[${length - 1}]`
  }
  return path
}

function parseKeys (dotted: string): string[] {
  return dotted.split('.').map((key) => key.trim().replace(/^"(.*)"$/, '$1'))
}

function formatChild (table: string, key: string): string {
  return table === '' ? key : `${table}.${key}`
}
