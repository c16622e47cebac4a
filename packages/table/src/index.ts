/** Client of the platform's table service, object store and VM list. */
export * from './platformClient.js'
export * from './inDoubtTransactions.js'
export * from './events.js'
export * from './httpPlatformClient.js'
