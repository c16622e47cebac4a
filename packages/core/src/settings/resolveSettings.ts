/** Parses and validates the settings file. */
import { err, ok, type Result } from 'neverthrow'
import { createFault, decodeWithFaults, parseToml, type ConfigFault } from '../manifest/configFault.js'
import { ProcessSettings, SETTINGS_DEFAULTS, type ResolvedSettings } from './settings.js'

/** Exit code for invalid settings (`EX_CONFIG`). */
export const EXIT_BAD_SETTINGS = 78

const MAX_PORT = 65_535

/** Resolves the TOML text of a settings file; on failure returns all faults at once. */
export function resolveSettings (text: string): Result<ResolvedSettings, ConfigFault[]> {
  return parseToml(text)
    .andThen((input) => decodeWithFaults(ProcessSettings, input, text))
    .andThen((settings) => {
      const faults = checkAddresses(settings, text)
      return faults.length === 0 ? ok(applyDefaults(settings)) : err(faults)
    })
}

function applyDefaults (settings: ProcessSettings): ResolvedSettings {
  return {
    ...settings,
    outageToleranceMs: settings.outageToleranceMs ?? SETTINGS_DEFAULTS.outageToleranceMs,
    log: { ...SETTINGS_DEFAULTS.log, ...settings.log },
    limits: { ...SETTINGS_DEFAULTS.limits, ...settings.limits }
  }
}

/** Checks what the pattern of an address cannot express: numeric ranges, and that other hosts can reach it. */
function checkAddresses (settings: ProcessSettings, text: string): ConfigFault[] {
  const faults: ConfigFault[] = []
  for (const option of ['httpAddress', 'linkAddress', 'platformAddress'] as const) {
    const { host, port } = parseAddress(settings[option])
    if (port > MAX_PORT) faults.push(createFault([option], `port ${port} is out of range`, `use a port up to ${MAX_PORT}`, text))
    if (host.split('.').some((part) => Number(part) > 255)) {
      faults.push(createFault([option], `${host} is not an IP address`, 'use four numbers up to 255', text))
    }
    if (host === '0.0.0.0' || host === '[::]') {
      faults.push(createFault([option], `${host} is not reachable from other hosts`, "use this VM's own address", text))
    }
  }
  if (parseAddress(settings.platformAddress).port === 0) {
    faults.push(createFault(['platformAddress'], 'port 0 is not reachable', "use the platform's port", text))
  }
  return faults
}

/** Splits a validated `host:port`; IPv6 hosts keep their brackets. */
export function parseAddress (address: string): { host: string, port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}
