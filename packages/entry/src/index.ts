/** The entry process: everything between callers and back ends. */
export * from './ports.js'
export * from './http/route.js'
export * from './request/httpEndpointClient.js'
export * from './request/requestService.js'
export * from './contract/allotmentTask.js'
