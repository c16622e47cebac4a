/** Renders the reference of events, docs/EVENTS.md. */
import type { EventDefinition } from '@fuchsiatally/core'

const AREAS: Readonly<Record<string, string>> = {
  1: 'Process, settings and HTTP',
  2: 'Links and sessions',
  3: 'Ownership and workers',
  4: 'Jobs and scheduler',
  5: 'Requests',
  6: 'Configuration and keys',
  7: 'Platform',
  8: 'Partitions, their workers and jobs, and the log'
}

/** Renders the page; the output depends only on the definitions, not on their order. */
export function renderEventsPage (definitions: readonly EventDefinition[]): string {
  const sorted = [...definitions].sort((a, b) => a.id < b.id ? -1 : 1)
  const lines = [
    '# Events',
    '',
    'Every log line is one of these numbered events. The page is rendered from the code by `node scripts/renderEvents.mjs`;',
    'a test compares the two. On a terminal events are text, elsewhere one JSON object a line: `time`, `event`, `level`,',
    '`title`, `fields`. Follow them with `fuchsiatally events --follow`. Numbers are never used again for another event.'
  ]
  for (const [digit, title] of Object.entries(AREAS)) {
    const area = sorted.filter((definition) => definition.id[2] === digit)
    if (area.length === 0) continue
    lines.push('', `## FT${digit}xx: ${title}`, '', '| event | level | what happened | what it means for you |', '|---|---|---|---|')
    for (const { id, level, title: what, help } of area) lines.push(`| ${id} | ${level} | ${formatTableCell(what)} | ${formatTableCell(help)} |`)
  }
  return `${lines.join('\n')}\n`
}

function formatTableCell (text: string): string {
  return text.replace(/\|/g, '\\|').replace(/\s+/g, ' ')
}
