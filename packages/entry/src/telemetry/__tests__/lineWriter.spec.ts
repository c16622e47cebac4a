/** The log never blocks on its reader, and the lines of each event are rate-limited. */
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createFakeClock } from '@fuchsiatally/core/testing/fakeClock'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { holderLoadMeasured, jobRefused, runPlaced, tableSlow } from '../../partition/events.js'
import { createEventLog } from '../eventLog.js'
import { createLineWriter, type LineWriter } from '../lineWriter.js'

test('lines that exceed the buffer are dropped and counted', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'fuchsiatally-log-'))
  const fd = openSync(join(folder, 'log'), 'w')
  const writer = createLineWriter({ fd, maxBufferedBytes: 1000 })
  // All within one turn of the event loop, as with a reader that is blocked.
  for (let line = 0; line < 500; line++) writer.writeLine(`line ${line}`, 'high')
  await new Promise((resolve) => { setTimeout(resolve, 100) })
  writer.dispose()
  const dropped = writer.takeDropped()
  const written = readFileSync(join(folder, 'log'), 'utf8').split('\n').length - 1
  closeSync(fd)
  rmSync(folder, { recursive: true })
  assert.ok(dropped > 300, `dropped ${dropped}`)
  assert.is(written + dropped, 500)
})

// Guards against an overloaded entry whose log lacks the warnings and load lines that explain the overload.
test('warnings and load summaries have room in a buffer that is full of other lines', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'fuchsiatally-log-'))
  const fd = openSync(join(folder, 'log'), 'w')
  const writer = createLineWriter({ fd, maxBufferedBytes: 40_000 })
  const log = createEventLog({ clock: createFakeClock(), level: 'info', format: 'json', writer })
  // All within one turn of the event loop, so that nothing is written in between.
  for (let run = 0; run < 400; run++) log.record(runPlaced, { run: `j.0.0.${run}#1` })
  for (let count = 0; count < 10; count++) log.record(tableSlow, { commitMs: 200 + count })
  log.record(holderLoadMeasured, { cell: 'p', loopDelayMs: 900 })
  writer.dispose()
  const dropped = writer.takeDropped()
  const lines = readFileSync(join(folder, 'log'), 'utf8').trimEnd().split('\n')
  closeSync(fd)
  rmSync(folder, { recursive: true })
  const count = (event: string): number => lines.filter((line) => line.includes(`"event":"${event}"`)).length
  assert.ok(count(runPlaced.id) > 0 && count(runPlaced.id) < 400)
  assert.is(count(runPlaced.id) + dropped, 400)
  assert.is(count(tableSlow.id), 10)
  assert.is(count(holderLoadMeasured.id), 1)
})

// Guards against a log that falls behind, and drops lines, because each turn of a late event loop writes only a small part of the buffer.
test('a full buffer is written within a few turns of the event loop', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'fuchsiatally-log-'))
  const fd = openSync(join(folder, 'log'), 'w')
  const writer = createLineWriter({ fd })
  const line = 'x'.repeat(199)
  for (let count = 0; count < 1000; count++) writer.writeLine(line, 'high')
  const sleepCell = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
  for (let turn = 0; turn < 8; turn++) {
    await new Promise((resolve) => { setImmediate(resolve) })
    // Gives the thread that writes the file time between two turns.
    Atomics.wait(sleepCell, 0, 0, 50)
  }
  const writtenBytes = readFileSync(join(folder, 'log')).byteLength
  writer.dispose()
  closeSync(fd)
  rmSync(folder, { recursive: true })
  assert.is(writtenBytes, 200_000)
})

test('a flood of one event is limited and summarized, other events are not suppressed', () => {
  const clock = createFakeClock()
  const lines: string[] = []
  const writer: LineWriter = { writeLine: (line) => { lines.push(line) }, takeDropped: () => 0, dispose: () => {} }
  const log = createEventLog({ clock, level: 'info', format: 'json', writer })
  for (let run = 0; run < 1000; run++) log.record(runPlaced, { run: `j.0.0.${run}#1` })
  log.record(jobRefused, { job: 'j' })
  clock.advance(1500)
  log.record(jobRefused, { job: 'k' })
  const count = (event: string): number => lines.filter((line) => line.includes(`"event":"${event}"`)).length
  assert.is(count('FT820'), 440)
  assert.is(count('FT831'), 2)
  const [summary] = lines.filter((line) => line.includes('"FT890"'))
  assert.match(summary ?? '', '"FT820":560')
})

// Guards against repeated lines that are withheld without being counted.
test('equal lines are written as often as they are recorded', () => {
  const lines: string[] = []
  const writer: LineWriter = { writeLine: (line) => { lines.push(line) }, takeDropped: () => 0, dispose: () => {} }
  const log = createEventLog({ clock: createFakeClock(), level: 'info', format: 'json', writer })
  for (let count = 0; count < 10; count++) log.record(jobRefused, { job: '0000000000000001' })
  assert.is(lines.length, 10)
})

test.run()
