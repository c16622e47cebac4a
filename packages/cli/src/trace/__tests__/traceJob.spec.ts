/** Checks that the cause of a refused, a late and a failed job is found from log lines alone. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { parseLog } from '../logLines.js'
import { summarizeJob } from '../traceJob.js'

const JOB = '00000000000000aa'

function buildLine (second: number, event: string, title: string, fields: Record<string, unknown>): string {
  return JSON.stringify({ time: new Date(Date.UTC(2026, 0, 5) + second * 1000).toISOString(), event, level: 'info', title, fields })
}

function parseAll (logs: Readonly<Record<string, readonly string[]>>) {
  return Object.entries(logs).flatMap(([file, lines]) => parseLog(lines.join('\n'), file).lines)
}

test('a refused job shows the reason', () => {
  const trace = summarizeJob(JOB, parseAll({ a: [buildLine(1, 'FT831', 'Job refused', { job: JOB, reason: 'the table refused the write' })] }))
  assert.is(trace.outcome, 'refused')
  assert.match(trace.cause, 'the table refused the write')
})

test('a job that waited for a new holder names the takeover, across clocks that differ', () => {
  const trace = summarizeJob(JOB, parseAll({
    a: [buildLine(10, 'FT830', 'Job accepted', { job: JOB })],
    // This clock is five seconds behind.
    b: [
      buildLine(8, 'FT801', 'Cell taken', { cell: 'pages', epoch: 4 }),
      buildLine(8.5, 'FT820', 'Run placed', { run: `${JOB}.0.0.0#1`, worker: 'w1' }),
      buildLine(9.5, 'FT823', 'Run ended', { run: `${JOB}.0.0.0#1`, worker: 'w1', how: 'done' }),
      buildLine(9.6, 'FT825', 'Job ended', { job: JOB, phase: 'completed' })
    ]
  }))
  assert.is(trace.outcome, 'completed')
  assert.equal(trace.lines.map((line) => line.event), ['FT830', 'FT820', 'FT823', 'FT825'])
  assert.ok(trace.lines.every((line) => line.sinceMs >= 0))
})

test('the longest wait is named with the holder that was replaced meanwhile', () => {
  const trace = summarizeJob(JOB, parseAll({
    a: [buildLine(1, 'FT830', 'Job accepted', { job: JOB })],
    b: [
      buildLine(3, 'FT801', 'Cell taken', { cell: 'pages', epoch: 4 }),
      buildLine(4, 'FT820', 'Run placed', { run: `${JOB}.0.0.0#1`, worker: 'w1' }),
      buildLine(5, 'FT823', 'Run ended', { run: `${JOB}.0.0.0#1`, worker: 'w1', how: 'done' }),
      buildLine(5.1, 'FT825', 'Job ended', { job: JOB, phase: 'completed' })
    ]
  }))
  assert.is(Math.round(trace.longestWait?.ms ?? 0), 3000)
  assert.match(trace.cause, 'pages was taken by b (epoch 4)')
})

function buildFailures (otherRunsFail: boolean): string[] {
  const lines = [buildLine(1, 'FT830', 'Job accepted', { job: JOB })]
  for (let run = 1; run <= 2; run++) lines.push(buildLine(1 + run, 'FT823', 'Run ended', { run: `${JOB}.0.0.0#${run}`, worker: 'w1', how: 'failed' }))
  for (let other = 0; other < 4; other++) {
    lines.push(buildLine(5, 'FT823', 'Run ended', { run: `00000000000000b${other}.0.0.0#1`, worker: 'w1', how: otherRunsFail ? 'failed' : 'done' }))
  }
  lines.push(buildLine(6, 'FT825', 'Job ended', { job: JOB, phase: 'failed' }))
  return lines
}

test('a job that fails by its own fault is told apart from one at a bad worker', () => {
  assert.match(summarizeJob(JOB, parseAll({ a: buildFailures(false) })).cause, 'by its own fault')
  assert.match(summarizeJob(JOB, parseAll({ a: buildFailures(true) })).cause, 'the workers are at fault')
})

test('lines may carry the name of their process, and other output is left out', () => {
  const parsed = parseLog(`  1.5 frontend-a-1 ${buildLine(1, 'FT830', 'Job accepted', { job: JOB })}\nsomething else\n`, 'file')
  assert.is(parsed.lines[0]?.source, 'frontend-a-1')
  assert.is(parsed.unread, 1)
})

test.run()
