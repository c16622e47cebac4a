/** VMs as the platform's lagging list shows them. */
import * as Schema from 'effect/Schema'
import { Resources } from './resources.js'

/** Runner of one service on one worker VM: where exchanges of that service are sent. */
export const Runner = Schema.Struct({
  service: Schema.String,
  /** `host:port` of the runner's HTTP listener. */
  address: Schema.String
})
export type Runner = typeof Runner.Type

/** One worker VM of the platform's list. */
export const Vm = Schema.Struct({
  id: Schema.String,
  /** `gone` is the platform's word that the VM never runs again. */
  state: Schema.Literals(['live', 'leaving', 'gone']),
  failureDomain: Schema.String,
  rack: Schema.String,
  /** Workers of one hardware shape that a service or job may name. */
  pool: Schema.String,
  /** `host:port` of the worker's lease and task interface. */
  address: Schema.String,
  resources: Resources,
  runners: Schema.Array(Runner)
})
export type Vm = typeof Vm.Type

/** Answer of `GET /vms`. */
export const VmList = Schema.Struct({ vms: Schema.Array(Vm) })
export type VmList = typeof VmList.Type
