/** The entry process: everything between callers and back ends. */
export * from './ports.js'
export * from './http/route.js'
export * from './link/peerMesh.js'
export * from './failureDomain/sessions.js'
export * from './failureDomain/tablePoll.js'
export * from './vm/ownership.js'
export * from './vm/workerLiaison.js'
export * from './vm/httpWorkerClient.js'
