/** Events of the links between entries. */
import { defineEvent } from '@fuchsiatally/core'

export const linkUp = defineEvent('FT201', 'info', 'Link up', 'Messages to the peer are now sent over this connection.')
export const linkDown = defineEvent('FT202', 'warn', 'Link down',
  '`reason` names why. The link is dialled again automatically.')
export const linkDialFailed = defineEvent('FT203', 'debug', 'Link not established',
  'The connection to the peer\'s address failed; it is retried with exponential backoff.')
export const linkFrameRefused = defineEvent('FT204', 'warn', 'Frame refused',
  'A frame was too large, was not valid CBOR, did not match its schema or had an unknown message type. A received frame closes its link, an outgoing frame is not sent; other links are not affected.')
export const linkHelloRefused = defineEvent('FT205', 'warn', 'Connection refused at hello',
  '`message` names why: no hello before the timeout, another first message, a hello with the incarnation of this entry, or too many connections waiting for hello.')
export const linkBufferFull = defineEvent('FT206', 'warn', 'Send buffer of a link is full',
  'The peer reads too slowly; messages to it are refused until its buffer drains.')
export const linkListenFailed = defineEvent('FT207', 'error', 'Link listener failed', 'Peers cannot connect to this entry.')
