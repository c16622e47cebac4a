/** Imports every module that defines events, so that the registry is complete. */
import '@fuchsiatally/table/events'
import '../partition/events.js'
import '../contract/events.js'
import '../failureDomain/events.js'
import '../http/events.js'
import '../job/events.js'
import '../link/events.js'
import '../process/events.js'
import '../request/events.js'
import './events.js'
import '../vm/events.js'

export { eventRegistry } from '@fuchsiatally/core'
