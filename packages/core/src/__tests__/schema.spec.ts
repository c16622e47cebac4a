/** Checks that decoding reports all faults and accepts what fits. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createDecoder, JobSpec } from '../index.js'

const decodeJob = createDecoder(JobSpec)
const JOB: JobSpec = {
  name: 'covers',
  kind: 'batch',
  priority: 'normal',
  taskCount: 3,
  resources: { processors: 1, memoryMb: 512, accelerators: 0 },
  runTimeMs: 1000,
  maxRetries: 1,
  checkpointable: false,
  payload: ''
}

test('accepts a job that fits the schema', () => {
  assert.equal(decodeJob(JOB)._unsafeUnwrap(), JOB)
})

test('names every fault of a job at once', () => {
  const faults = decodeJob({ ...JOB, taskCount: 0, kind: 'bath', colour: 'red' })._unsafeUnwrapErr().message
  for (const part of ['taskCount', 'kind', 'colour']) assert.match(faults, part)
})

test.run()
