/** Parses the operators' manifest and validates constraints that its schema cannot express. */
import { err, ok, type Result } from 'neverthrow'
import { Manifest } from '../schema/manifest.js'
import { createFault, decodeWithFaults, parseToml, type ConfigFault } from './configFault.js'
import type { PathSegment } from './tomlPath.js'

const MINUTES_PER_DAY = 1440

/** Parses the TOML text of a manifest; on failure returns all faults at once. */
export function parseManifest (text: string): Result<Manifest, ConfigFault[]> {
  return parseToml(text).andThen((input) => decodeManifest(input, text))
}

/** Decodes and validates a manifest given as plain data. */
export function decodeManifest (input: unknown, text?: string): Result<Manifest, ConfigFault[]> {
  return decodeWithFaults(Manifest, input, text).andThen((manifest) => {
    const faults = checkManifest(manifest, text)
    return faults.length === 0 ? ok(manifest) : err(faults)
  })
}

/** Checks constraints between fields: names, key ids and hashes are unique, and limits are consistent. */
export function checkManifest (manifest: Manifest, text?: string): ConfigFault[] {
  const faults: ConfigFault[] = []
  const names = createUniquenessCheck(faults, text, 'name', 'choose another name or merge the two')
  const services = createUniquenessCheck(faults, text, 'name', 'choose another name or merge the two')
  const keyIds = createUniquenessCheck(faults, text, 'key id', 'use a different id for each key')
  const hashes = createUniquenessCheck(faults, text, 'key hash', 'grant each key only once')
  if (manifest.shareWindow.lengthMinutes > MINUTES_PER_DAY) {
    faults.push(createFault(['shareWindow', 'lengthMinutes'], 'longer than a day', `use at most ${MINUTES_PER_DAY}`, text))
  }
  for (const [index, team] of manifest.teams.entries()) {
    names(team.name, ['teams', index, 'name'])
    for (const [position, key] of team.keys.entries()) {
      keyIds(key.id, ['teams', index, 'keys', position, 'id'])
      hashes(key.sha256, ['teams', index, 'keys', position, 'sha256'])
    }
  }
  for (const [index, service] of manifest.services.entries()) {
    services(service.name, ['services', index, 'name'])
    if (service.slotsPerRunner <= service.connectionsPerRunner) continue
    const mend = `use at most connectionsPerRunner, which is ${service.connectionsPerRunner}`
    faults.push(createFault(['services', index, 'slotsPerRunner'], 'more slots than connections', mend, text))
  }
  return faults
}

/** Creates a check that adds a fault for each duplicate value. */
function createUniquenessCheck (
  faults: ConfigFault[], text: string | undefined, title: string, mend: string
): (value: string, path: readonly PathSegment[]) => void {
  const seen = new Set<string>()
  return (value, path) => {
    if (seen.has(value)) faults.push(createFault(path, `duplicate ${title}`, mend, text))
    seen.add(value)
  }
}
