/** Clients of the platform's services. */
export * from './platformClient.js'
export * from './settleTransaction.js'
