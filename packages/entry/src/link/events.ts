/** Events of the links between entries. */
import { defineEvent } from '@fuchsiatally/core'

export const linkUp = defineEvent('FT201', 'info', 'Link up', 'Messages to the peer are sent over this connection from now on.')
export const linkDown = defineEvent('FT202', 'warn', 'Link down',
  '`reason` names why; the entry that dials tries again by itself.')
export const linkDialFailed = defineEvent('FT203', 'debug', 'Link not established',
  'The peer\'s address did not answer; the next try follows after a growing pause.')
export const linkFrameRefused = defineEvent('FT204', 'warn', 'Frame refused',
  'A frame was too large, no CBOR or no known message. Its link is closed; nothing else is affected.')
export const linkHelloRefused = defineEvent('FT205', 'warn', 'Connection refused at its first message',
  'It did not introduce itself in time or as an entry, or too many connections wait for it.')
export const linkBufferFull = defineEvent('FT206', 'warn', 'Send buffer of a link is full',
  'Messages to the peer are refused until it reads again.')
export const linkListenFailed = defineEvent('FT207', 'error', 'Link listener failed', 'Peers cannot connect to this entry.')
