/** VMs, as listed by the platform with a delay. */
import * as Schema from 'effect/Schema'
import { Resources } from './resources.js'

/** Runner of a service on a worker VM, which handles exchanges of that service. */
export const Runner = Schema.Struct({
  service: Schema.String,
  /** `host:port` of the runner's HTTP listener. */
  address: Schema.String
})
export type Runner = typeof Runner.Type

/** A worker VM in the platform's list. */
export const Vm = Schema.Struct({
  id: Schema.String,
  /** `gone`: the platform guarantees that the VM never runs again. */
  state: Schema.Literals(['live', 'leaving', 'gone']),
  failureDomain: Schema.String,
  rack: Schema.String,
  /** Pool of workers with the same hardware, which services and jobs refer to by name. */
  pool: Schema.String,
  /** `host:port` of the worker's lease and task API. */
  address: Schema.String,
  resources: Resources,
  runners: Schema.Array(Runner)
})
export type Vm = typeof Vm.Type

/** Response to `GET /vms`. */
export const VmList = Schema.Struct({ vms: Schema.Array(Vm) })
export type VmList = typeof VmList.Type
