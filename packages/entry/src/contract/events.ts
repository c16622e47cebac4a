/** Events of the configuration and of keys: FT6xx. */
import { defineEvent } from '@fuchsiatally/core'

export const configInstalled = defineEvent('FT601', 'info', 'Configuration in force',
  'This entry now acts by the version named. Every reachable entry reports the same version within 6 s of its acceptance.')
export const configAccepted = defineEvent('FT602', 'info', 'Configuration change accepted',
  'The change is in the platform\'s table and never reverts.')
export const configConflict = defineEvent('FT603', 'info', 'Configuration change conflicts',
  'Another operator changed the configuration first; look at the difference and apply again.')
export const configChangeFailed = defineEvent('FT604', 'warn', 'Configuration change without an answer',
  'The platform gave no usable answer, so the change may or may not be accepted; read the version in force once the platform is back.')
export const configMalformed = defineEvent('FT605', 'error', 'Configuration row is malformed',
  'The row config/current does not fit its schema; this entry keeps the version in force. Apply the manifest again.')
export const configOldRead = defineEvent('FT606', 'warn', 'Old configuration ignored',
  'The platform answered with a lower version than one already heard of; it is not installed and does not count as news.')
export const configStale = defineEvent('FT607', 'warn', 'Configuration is stale',
  'Neither the platform nor a peer that hears it has confirmed the version in force for 4 s; teams with whenCut = "refuse" are refused here, and a revocation may not be in force here.')
export const configFresh = defineEvent('FT608', 'info', 'Configuration is fresh',
  'The version in force is confirmed, for the first time or again; all teams are served by it.')
export const keyGranted = defineEvent('FT610', 'info', 'Key granted',
  'An operator granted a key; only its hash is kept.')
export const keyRevoked = defineEvent('FT611', 'info', 'Key revoked',
  'The revocation is in the platform\'s table.')
export const keyDenied = defineEvent('FT612', 'warn', 'Key denied ahead of the table',
  'A revocation was heard that the table does not hold yet; the key is refused here and the revocation is committed when the platform answers.')
export const keyRefused = defineEvent('FT613', 'debug', 'Key refused',
  'The caller got the same answer for unknown, malformed, revoked and foreign keys; `cause` tells them apart here.')
export const operatorRefused = defineEvent('FT614', 'warn', 'Operator access refused',
  'A call to an operators\' route came without the operators\' key.')
export const vmDrained = defineEvent('FT615', 'info', 'VM drained or returned',
  'An operator changed whether a worker VM gets new work.')
