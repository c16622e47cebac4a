/** Events of the configuration and of keys (FT6xx). */
import { defineEvent } from '@fuchsiatally/core'

export const configInstalled = defineEvent('FT601', 'info', 'Configuration in force',
  'This entry now uses the named version. Every reachable entry reports it within 6 s of its commit.')
export const configAccepted = defineEvent('FT602', 'info', 'Configuration change accepted',
  'The change is committed to the platform\'s table and is never reverted.')
export const configConflict = defineEvent('FT603', 'info', 'Configuration change conflict',
  'Another operator changed the configuration first; review the difference and apply the change again.')
export const configChangeFailed = defineEvent('FT604', 'warn', 'Configuration change not confirmed',
  'The platform returned no usable response, so the change may or may not be committed; check the version in force once the platform is available.')
export const configMalformed = defineEvent('FT605', 'error', 'Configuration row malformed',
  'The row config/current does not match its schema; this entry keeps the version in force. Apply the manifest again.')
export const configOutdatedRead = defineEvent('FT606', 'warn', 'Outdated configuration ignored',
  'The platform returned a version or a table revision lower than one already known; it is not installed and does not confirm the version in force.')
export const configStale = defineEvent('FT607', 'warn', 'Configuration stale',
  'Neither the platform nor a peer in contact with it has confirmed the version in force for 4 s, or a newer version is known but not received yet; this entry refuses teams with whenCut = "refuse", and for the others it may miss a revocation.')
export const configFresh = defineEvent('FT608', 'info', 'Configuration fresh',
  'The version in force is confirmed, for the first time or again; all teams are served.')
export const keyGranted = defineEvent('FT610', 'info', 'Key granted',
  'An operator granted a key; only its hash is stored.')
export const keyRevoked = defineEvent('FT611', 'info', 'Key revoked',
  'The revocation is committed to the platform\'s table.')
export const keyDenied = defineEvent('FT612', 'warn', 'Key denied before its revocation is committed',
  'This entry learned of a revocation that is not in the table yet; it refuses the key now and commits the revocation once the platform is available.')
export const keyRefused = defineEvent('FT613', 'debug', 'Key refused',
  'Callers get the same response for every cause: `unknown` (also a malformed key), `revoked` and `foreign` (a key of another team).')
export const operatorRefused = defineEvent('FT614', 'warn', 'Operator access refused',
  'A call to an operators\' route did not carry the operators\' key.')
export const vmDrained = defineEvent('FT615', 'info', 'VM drained or undrained',
  'An operator changed whether a worker VM is assigned new work.')
