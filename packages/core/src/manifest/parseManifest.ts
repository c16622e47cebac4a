/** Reads the operators' manifest and checks what its schema alone cannot. */
import { err, ok, type Result } from 'neverthrow'
import { Manifest } from '../schema/manifest.js'
import { createFault, decodeWithFaults, parseToml, type ConfigFault } from './configFault.js'
import type { PathSegment } from './tomlPath.js'

const MINUTES_PER_DAY = 1440

/** Parses the TOML text of a manifest; on failure all faults at once. */
export function parseManifest (text: string): Result<Manifest, ConfigFault[]> {
  return parseToml(text).andThen((input) => decodeManifest(input, text))
}

/** Decodes and checks a manifest that came as plain data. */
export function decodeManifest (input: unknown, text?: string): Result<Manifest, ConfigFault[]> {
  return decodeWithFaults(Manifest, input, text).andThen((manifest) => {
    const faults = checkManifest(manifest, text)
    return faults.length === 0 ? ok(manifest) : err(faults)
  })
}

/** Checks between the fields of a manifest: names, key ids and hashes are unique, bounds agree. */
export function checkManifest (manifest: Manifest, text?: string): ConfigFault[] {
  const faults: ConfigFault[] = []
  const names = createUniqueCheck(faults, text, 'name', 'choose another name or merge the two')
  const services = createUniqueCheck(faults, text, 'name', 'choose another name or merge the two')
  const keyIds = createUniqueCheck(faults, text, 'key id', 'give each key an id of its own')
  const hashes = createUniqueCheck(faults, text, 'key hash', 'grant each key once only')
  if (manifest.shareWindow.lengthMinutes > MINUTES_PER_DAY) {
    faults.push(createFault(['shareWindow', 'lengthMinutes'], 'longer than a day', `give at most ${MINUTES_PER_DAY}`, text))
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
    const mend = `give at most connectionsPerRunner, which is ${service.connectionsPerRunner}`
    faults.push(createFault(['services', index, 'slotsPerRunner'], 'more slots than connections', mend, text))
  }
  return faults
}

/** Builds a check that adds a fault for each value seen before. */
function createUniqueCheck (
  faults: ConfigFault[], text: string | undefined, title: string, mend: string
): (value: string, path: readonly PathSegment[]) => void {
  const seen = new Set<string>()
  return (value, path) => {
    if (seen.has(value)) faults.push(createFault(path, `${title} given twice`, mend, text))
    seen.add(value)
  }
}
