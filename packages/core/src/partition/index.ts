/** Scheduling of a partition: jobs of steps, workers, placement advice and task placement. */
export * from './stepJob.js'
export * from './jobState.js'
export * from './plannerTypes.js'
export * from './createPartitionPlanner.js'
export * from './clusterConfig.js'
export * from './submission.js'
export * from './ceilingClaims.js'
export type { WorkerInfo } from './partitionWorker.js'
