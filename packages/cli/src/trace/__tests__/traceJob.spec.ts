/** Tests that the cause of a refused, delayed or failed job is derived from log lines. */
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

test('the trace of a refused job shows the reason', () => {
  const trace = summarizeJob(JOB, parseAll({ a: [buildLine(1, 'FT831', 'Job refused', { job: JOB, reason: 'the table refused the write' })] }))
  assert.is(trace.outcome, 'refused')
  assert.match(trace.cause, 'the table refused the write')
})

test('the lines of a job are in causal order although the clocks of the processes differ', () => {
  const trace = summarizeJob(JOB, parseAll({
    a: [buildLine(10, 'FT830', 'Job accepted', { job: JOB })],
    // The clock of this process is five seconds slow.
    b: [
      buildLine(8, 'FT801', 'Partition taken over', { cell: 'pages', epoch: 4 }),
      buildLine(8.5, 'FT820', 'Run placed', { run: `${JOB}.0.0.0#1`, worker: 'w1' }),
      buildLine(9.5, 'FT823', 'Run ended', { run: `${JOB}.0.0.0#1`, worker: 'w1', how: 'done' }),
      buildLine(9.6, 'FT825', 'Job ended', { job: JOB, phase: 'completed' })
    ]
  }))
  assert.is(trace.outcome, 'completed')
  assert.equal(trace.lines.map((line) => line.event), ['FT830', 'FT820', 'FT823', 'FT825'])
  assert.ok(trace.lines.every((line) => line.sinceMs >= 0))
})

test('the longest wait is explained by a change of holder', () => {
  const trace = summarizeJob(JOB, parseAll({
    a: [buildLine(1, 'FT830', 'Job accepted', { job: JOB })],
    b: [
      buildLine(3, 'FT801', 'Partition taken over', { cell: 'pages', epoch: 4 }),
      buildLine(4, 'FT820', 'Run placed', { run: `${JOB}.0.0.0#1`, worker: 'w1' }),
      buildLine(5, 'FT823', 'Run ended', { run: `${JOB}.0.0.0#1`, worker: 'w1', how: 'done' }),
      buildLine(5.1, 'FT825', 'Job ended', { job: JOB, phase: 'completed' })
    ]
  }))
  assert.is(Math.round(trace.longestWait?.ms ?? 0), 3000)
  assert.match(trace.cause, 'partition pages was acquired by b (epoch 4)')
})

test('a task that was given up is named with the workers that were lost with it', () => {
  const run = (number: number): string => `${JOB}.0.0.2#${number}`
  const trace = summarizeJob(JOB, parseAll({
    a: [
      buildLine(1, 'FT830', 'Job accepted', { job: JOB }),
      buildLine(2, 'FT812', 'Worker lost with its runs', { worker: 'w1', runs: [run(1), '00000000000000bb.0.0.0#1'] }),
      buildLine(3, 'FT812', 'Worker lost with its runs', { worker: 'w2', runs: ['00000000000000bb.0.0.0#2'] }),
      buildLine(4, 'FT812', 'Worker lost with its runs', { worker: 'w3', runs: [run(2)] }),
      buildLine(4, 'FT826', 'Task given up', { job: JOB, run: run(2), worker: 'w3' }),
      buildLine(5, 'FT825', 'Job ended', { job: JOB, phase: 'failed' })
    ]
  }))
  assert.is(trace.outcome, 'failed')
  assert.match(trace.cause, `task ${JOB}.0.0.2 was given up`)
  assert.match(trace.cause, 'w1, w3')
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

test('a faulty task is distinguished from a faulty worker', () => {
  assert.match(summarizeJob(JOB, parseAll({ a: buildFailures(false) })).cause, 'the task itself is at fault')
  assert.match(summarizeJob(JOB, parseAll({ a: buildFailures(true) })).cause, 'the workers are at fault')
})

test('the reasons for a delay are listed: a lost worker, a preempted run, advice that allows no worker', () => {
  const trace = summarizeJob(JOB, parseAll({
    a: [
      buildLine(1, 'FT830', 'Job accepted', { job: JOB }),
      buildLine(1.1, 'FT840', 'Placement advice received', { step: `${JOB}.0.0`, asked: 10, good: 0, waitedMs: 30 }),
      buildLine(1.2, 'FT820', 'Run placed', { run: `${JOB}.0.0.0#1`, worker: 'w1' }),
      buildLine(2, 'FT822', 'Order without a response', { run: `${JOB}.0.0.0#1`, worker: 'w1' }),
      buildLine(4, 'FT812', 'Worker lost with its runs', { worker: 'w1', reason: 'its lease has lapsed' }),
      buildLine(4, 'FT812', 'Worker lost with its runs', { worker: 'w2', reason: 'its lease has lapsed' }),
      buildLine(4.1, 'FT820', 'Run placed', { run: `${JOB}.0.0.0#2`, worker: 'w3' }),
      buildLine(4.2, 'FT824', 'Run is being stopped', { run: `${JOB}.0.0.0#2`, worker: 'w3', reason: 'preempted' }),
      buildLine(5, 'FT820', 'Run placed', { run: `${JOB}.0.0.0#3`, worker: 'w3' }),
      buildLine(6, 'FT823', 'Run ended', { run: `${JOB}.0.0.0#3`, worker: 'w3', how: 'done' }),
      buildLine(6.1, 'FT825', 'Job ended', { job: JOB, phase: 'completed' })
    ]
  }))
  assert.equal(trace.reasons, [
    'worker w1 was lost with its runs',
    `placement advice allowed none of 10 workers for step ${JOB}.0.0`,
    '1 run was stopped (preempted)',
    '1 start got no response'
  ])
})

test('a wait without any other reason is attributed to capacity, to advice or to a long run', () => {
  const build = (...ends: string[]) => summarizeJob(JOB, parseAll({ a: [buildLine(1, 'FT830', 'Job accepted', { job: JOB }), ...ends] })).reasons
  assert.equal(build(buildLine(3, 'FT820', 'Run placed', { run: `${JOB}.0.0.0#1`, worker: 'w1' })), ['waiting for free capacity or for room under the team\'s ceiling'])
  const advice = (waitedMs: number): string => buildLine(3, 'FT840', 'Placement advice received', { step: `${JOB}.0.0`, asked: 10, good: 3, waitedMs })
  assert.equal(build(advice(1900)), ['the advice request took 1900 ms'])
  assert.equal(build(advice(30)), ['waiting for free capacity or for room under the team\'s ceiling, before advice was requested'])
  assert.equal(build(
    buildLine(1.1, 'FT820', 'Run placed', { run: `${JOB}.0.0.0#1`, worker: 'w1' }),
    buildLine(1.2, 'FT820', 'Run placed', { run: `${JOB}.0.0.1#1`, worker: 'w2' }),
    buildLine(1.3, 'FT823', 'Run ended', { run: `${JOB}.0.0.1#1`, worker: 'w2', how: 'done' }),
    buildLine(4, 'FT823', 'Run ended', { run: `${JOB}.0.0.0#1`, worker: 'w1', how: 'done' })
  ), [`run ${JOB}.0.0.0#1 took 2900 ms at worker w1`])
})

test('the name of the process before the JSON is the source of a line, and other output is skipped', () => {
  const parsed = parseLog(`  1.5 frontend-a-1 ${buildLine(1, 'FT830', 'Job accepted', { job: JOB })}\nsomething else\n`, 'file')
  assert.is(parsed.lines[0]?.source, 'frontend-a-1')
  assert.is(parsed.skippedLines, 1)
})

test.run()
