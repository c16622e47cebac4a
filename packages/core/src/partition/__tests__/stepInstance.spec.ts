/** What planning derives from a step's tasks, and how often it looks at them. */
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createTestStep, createTestStepJob } from '../../testing/stepJobs.js'
import { createJobRegistry } from '../jobRegistry.js'
import { ACCEPTED_STATE, createJob, createOccurrence, type Task } from '../jobState.js'
import { countStartable, createStepInstance, estimateRemainingMs, listStartable } from '../stepInstance.js'

const TASKS = 100
const steps = [createTestStep({ taskCount: TASKS, estimateMs: 1000 }), createTestStep({ after: [0], estimateMs: 500 })]

/** Creates a step of which each read of a task is counted. */
function createCountedStep () {
  let reads = 0
  const job = createJob('j', createTestStepJob(steps), ACCEPTED_STATE, false)
  const { index, steps: tasks } = createOccurrence(job.id, job.spec, 0)
  const countReads = (task: Task): Task => new Proxy(task, {
    get: (target, property) => {
      reads++
      return Reflect.get(target, property)
    }
  })
  const instance = createStepInstance(job, { index, steps: tasks.map((ofStep) => ofStep.map(countReads)) }, 0)
  return {
    job,
    instance,
    takeReads: () => {
      const taken = reads
      reads = 0
      return taken
    }
  }
}

// Guards against planning rounds that look at every task of a backlog, although nothing of it has changed since the last round.
test('the tasks of a step are looked at once for all rounds in which its job does not change', () => {
  const { instance, takeReads } = createCountedStep()
  const readAll = () => [listStartable(instance).length, countStartable(instance), estimateRemainingMs(instance)]
  assert.equal(readAll(), [TASKS, TASKS, 1500])
  assert.ok(takeReads() >= TASKS)
  for (let round = 0; round < 3; round++) assert.equal(readAll(), [TASKS, TASKS, 1500])
  assert.is(takeReads(), 0)
})

test('a change of the job shows in what is derived from its tasks', () => {
  const registry = createJobRegistry()
  const job = registry.addJob('j', createTestStepJob(steps), ACCEPTED_STATE, 0)
  const instance = registry.findStepInstanceByKey('j.0.0')!
  assert.is(countStartable(instance), TASKS)
  const task = instance.tasks[0]!
  task.phase = 'placed'
  task.worker = 'w'
  registry.recordStarted(instance)
  assert.is(countStartable(instance), TASKS - 1)
  for (const other of instance.tasks) other.phase = 'done'
  registry.recordDone(task, 1)
  assert.is(countStartable(instance), 0)
  assert.is(estimateRemainingMs(instance), 500)
  registry.recordChanged(job.id)
  assert.is(estimateRemainingMs(registry.findStepInstanceByKey('j.0.1')!), 500)
})

test.run()
