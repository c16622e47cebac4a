/** Tests of decoding and of resource arithmetic. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { addResources, createDecoder, JobSpec, NO_RESOURCES, subtractResources } from '../index.js'

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

test('accepts a job that matches the schema', () => {
  assert.equal(decodeJob(JOB)._unsafeUnwrap(), JOB)
})

test('reports all faults of a job at once', () => {
  const faults = decodeJob({ ...JOB, taskCount: 0, kind: 'bath', colour: 'red' })._unsafeUnwrapErr().message
  for (const part of ['taskCount', 'kind', 'colour']) assert.match(faults, part)
})

test('sums of decimal fractions of a core are exact', () => {
  const tenth = { processors: 0.1, memoryMb: 1, accelerators: 0 }
  let used = NO_RESOURCES
  for (let task = 0; task < 10; task++) used = addResources(used, tenth)
  assert.is(used.processors, 1)
  assert.is(subtractResources({ ...used, processors: 0.3 }, { ...tenth, processors: 0.1 }).processors, 0.2)
})

test.run()
