/** Settings of one entry process, read from its TOML file. */
import * as Schema from 'effect/Schema'

const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9._-]{0,62}$/))
const Sha256 = Schema.String.check(Schema.isPattern(/^[0-9a-f]{64}$/))
const HostPort = Schema.String.check(Schema.isPattern(/^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-fA-F:]+\]):[0-9]{1,5}$/))

/** Creates a schema for integers between two bounds, both included. */
function createRange (minimum: number, maximum: number) {
  return Schema.Int.check(Schema.isGreaterThanOrEqualTo(minimum), Schema.isLessThanOrEqualTo(maximum))
}

/** Log output. */
export const LogSettings = Schema.Struct({
  /** Minimum level that is written; default `info`. */
  level: Schema.optionalKey(Schema.Literals(['debug', 'info', 'warn', 'error'])),
  /** `json`: one line per event; `text`: human-readable; `auto`: text on a terminal, else json; default `auto`. */
  format: Schema.optionalKey(Schema.Literals(['auto', 'json', 'text']))
})

/** Limits on the resources that clients and peers can occupy. */
export const LimitSettings = Schema.Struct({
  /** Maximum frame size on a link between entries, in bytes; default 16 MiB. */
  maxFrameBytes: Schema.optionalKey(createRange(65_536, 268_435_456)),
  /** Send buffer size at which a link counts as full, in bytes; default 32 MiB. */
  maxLinkBufferBytes: Schema.optionalKey(createRange(65_536, 1_073_741_824)),
  /** Maximum open connections from callers; further ones are closed at once; default 4096. */
  maxConnections: Schema.optionalKey(createRange(1, 65_535)),
  /** Maximum body size of a request to `/v1`, in bytes; default 8 MiB. A service may set a lower limit. */
  maxBodyBytes: Schema.optionalKey(createRange(1024, 268_435_456)),
  /** Timeout for receiving a whole request, in milliseconds; default 60000. */
  requestReadMs: Schema.optionalKey(createRange(1000, 600_000)),
  /** Maximum time that a graceful shutdown waits for requests in flight, in milliseconds; default 60000. */
  shutdownMs: Schema.optionalKey(createRange(0, 3_600_000))
})

/** The whole settings file of `fuchsiatallyd`. */
export const ProcessSettings = Schema.Struct({
  /** Name of this entry, unique in the cell. */
  entry: Name,
  /** Failure domain of this entry's VM. */
  failureDomain: Name,
  /** Cell that this entry serves. */
  cell: Name,
  /** `IP:port` of the listener for callers and operators; port 0 selects a free port. */
  httpAddress: HostPort,
  /** `IP:port` of the listener for other entries; port 0 selects a free port. */
  linkAddress: HostPort,
  /** `IP:port` of the platform's service. */
  platformAddress: HostPort,
  /** SHA-256 of the operators' key, in hexadecimal. */
  operatorKeySha256: Sha256,
  /** Time for which an owner continues to extend leases while the platform is unavailable, in milliseconds; default 3600000. */
  outageToleranceMs: Schema.optionalKey(createRange(0, 86_400_000)),
  log: Schema.optionalKey(LogSettings),
  limits: Schema.optionalKey(LimitSettings)
})
export type ProcessSettings = typeof ProcessSettings.Type

/** Default values of optional settings. */
export const SETTINGS_DEFAULTS = {
  outageToleranceMs: 3_600_000,
  log: { level: 'info', format: 'auto' },
  limits: {
    maxFrameBytes: 16_777_216,
    maxLinkBufferBytes: 33_554_432,
    maxConnections: 4096,
    maxBodyBytes: 8_388_608,
    requestReadMs: 60_000,
    shutdownMs: 60_000
  }
} as const

/** Makes all fields required, recursively. */
type Resolved<T> = { readonly [K in keyof T]-?: Exclude<T[K], undefined> extends object ? Resolved<Exclude<T[K], undefined>> : Exclude<T[K], undefined> }

/** Settings with all defaults applied. */
export type ResolvedSettings = Resolved<ProcessSettings>
