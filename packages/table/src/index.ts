/** Clients of the platform's services. */
export * from './platformClient.js'
export * from './settleTransaction.js'
export * from './events.js'
export * from './httpPlatformClient.js'
