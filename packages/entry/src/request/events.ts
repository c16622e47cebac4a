/** Numbered events of requests and allotments. */
import { defineEvent } from '@fuchsiatally/core'

export const requestRouted = defineEvent('FT501', 'info', 'Request routed to an owner',
  'The owner was chosen by its reported free slots; losers are the other owners of the service with their free slots.')
export const requestPlaced = defineEvent('FT502', 'info', 'Request placed on an endpoint',
  'The endpoint was the least loaded one with a free slot; losers name why the others were not taken.')
export const requestNotRun = defineEvent('FT503', 'info', 'Request not run',
  'For certain no endpoint worked on the request; the caller was told when to come back.')
export const requestUnknown = defineEvent('FT504', 'warn', 'Request outcome unknown',
  'An exchange broke after a byte may have left for an endpoint. See docs/operators/requests.md.')
export const requestRetried = defineEvent('FT505', 'info', 'Request sent to another endpoint',
  'The first exchange broke or was refused; only idempotent requests, or such as ran nowhere for certain, are sent again.')
export const lateReplyDropped = defineEvent('FT506', 'info', 'Late reply dropped',
  'An owner answered after the caller had been told the outcome.')
export const endpointEjected = defineEvent('FT507', 'warn', 'Endpoint ejected',
  'Exchanges with the endpoint broke in a row; it gets no work for a while and is then probed by one request.')
export const endpointRestored = defineEvent('FT508', 'info', 'Endpoint restored', 'A probe was answered.')
export const requestRejected = defineEvent('FT509', 'info', 'Request rejected at ingress',
  'Key, limits or form of the request did not allow it; nothing ran.')
export const allotmentChanged = defineEvent('FT510', 'info', 'Allotment changed',
  'This entry changed the split of a team\'s ceiling on requests: took, gave, withdrew or returned a part.')
export const allotmentInDoubt = defineEvent('FT511', 'warn', 'Allotment transaction without answer',
  'The table gave no answer; the debited part stays unused until the same transaction is settled.')
export const ticketRefused = defineEvent('FT512', 'info', 'Ticket not issued',
  'The team or the entry has too many open tickets.')
export const ticketDuplicate = defineEvent('FT513', 'info', 'Duplicate met its ticket',
  'A request with the same ticket was running or had ended; it did not run a second time.')
export const allotmentMalformed = defineEvent('FT514', 'error', 'Allotment row malformed',
  'The row is not of this version\'s shape; the team\'s requests run only on the part known before.')
