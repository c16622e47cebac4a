/** SVG plots of team shares over time and of waiting times. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import * as vega from 'vega'
import { compile, type TopLevelSpec } from 'vega-lite'
import type { CaseResult } from './runCase.js'

const MS_PER_MINUTE = 60_000

/** Writes a plot of team shares for each result with at most 8 teams, and one plot of all waiting times. */
export async function writePlots (folder: string, results: readonly CaseResult[]): Promise<void> {
  await mkdir(folder, { recursive: true })
  for (const row of results) {
    if (row.result.teams.length > 8) continue
    await writeSvg(join(folder, `shares-${row.cell}-${row.condition}-${row.scheduler}.svg`), buildShareChart(row))
  }
  await writeSvg(join(folder, 'waiting.svg'), buildWaitChart(results))
}

function buildShareChart (row: CaseResult): TopLevelSpec {
  const values = row.result.shareSamples.map(({ atMs, team, part }) => ({ minute: atMs / MS_PER_MINUTE, team, part }))
  return {
    title: `Share of the cell in use: ${row.cell}, ${row.condition}, ${row.scheduler}`,
    width: 700,
    height: 300,
    data: { values },
    mark: { type: 'line', interpolate: 'step-after', strokeWidth: 1 },
    encoding: {
      x: { field: 'minute', type: 'quantitative', bin: { maxbins: 120 }, title: 'minutes since start' },
      y: { field: 'part', type: 'quantitative', aggregate: 'mean', title: 'dominant share' },
      color: { field: 'team', type: 'nominal' }
    }
  }
}

function buildWaitChart (results: readonly CaseResult[]): TopLevelSpec {
  const values = results.flatMap((row) => row.result.waits.filter((wait) => wait.class !== 'service').flatMap((wait) => [
    { run: `${row.cell} ${row.condition}`, scheduler: row.scheduler, class: wait.class, quantile: 'p50', seconds: Math.max(0.1, wait.p50S) },
    { run: `${row.cell} ${row.condition}`, scheduler: row.scheduler, class: wait.class, quantile: 'p99', seconds: Math.max(0.1, wait.p99S) }
  ]))
  return {
    title: 'Waiting time of started tasks',
    data: { values },
    facet: { column: { field: 'class', type: 'nominal' } },
    spec: {
      width: 260,
      mark: { type: 'point', filled: true, size: 60 },
      encoding: {
        x: { field: 'seconds', type: 'quantitative', scale: { type: 'log' } },
        y: { field: 'run', type: 'nominal' },
        color: { field: 'scheduler', type: 'nominal' },
        shape: { field: 'quantile', type: 'nominal' }
      }
    }
  }
}

async function writeSvg (path: string, spec: TopLevelSpec): Promise<void> {
  const view = new vega.View(vega.parse(compile(spec).spec), { renderer: 'none' })
  await writeFile(path, await view.toSVG())
  view.finalize()
}
