/** Events of requests and allotments (FT5xx). */
import { defineEvent } from '@fuchsiatally/core'

export const requestRouted = defineEvent('FT501', 'info', 'Request routed to an owner',
  'The owner was chosen by its reported free slots; losers lists the other owners of the service with their free slots.')
export const requestPlaced = defineEvent('FT502', 'info', 'Request placed on an endpoint',
  'The least loaded endpoint with a free slot was chosen; losers lists why the others were not.')
export const requestNotRun = defineEvent('FT503', 'info', 'Request not run',
  'No endpoint has run the request; the response states when to retry.')
export const requestUnknown = defineEvent('FT504', 'warn', 'Request outcome unknown',
  'An exchange failed after data may have been sent to an endpoint, so the request may have run. See docs/operators/requests.md.')
export const requestRetried = defineEvent('FT505', 'info', 'Request retried at another endpoint',
  'An exchange failed or was refused; only requests that are idempotent or certainly did not run are retried.')
export const lateReplyDropped = defineEvent('FT506', 'info', 'Late reply dropped',
  'An owner replied after the caller had received an outcome.')
export const endpointEjected = defineEvent('FT507', 'warn', 'Endpoint ejected',
  'Consecutive exchanges with the endpoint failed; it gets no requests for a while and is then probed by a single one.')
export const endpointRestored = defineEvent('FT508', 'info', 'Endpoint restored', 'The endpoint answered a probe and gets requests again.')
export const requestRejected = defineEvent('FT509', 'info', 'Request rejected at ingress',
  'The request failed authentication, limits or validation; it did not run.')
export const allotmentChanged = defineEvent('FT510', 'info', 'Allotment changed',
  'This entry changed the split of a team\'s ceiling on requests: it took, transferred, reclaimed or returned a part.')
export const allotmentInDoubt = defineEvent('FT511', 'warn', 'Allotment transaction in doubt',
  'The table returned no usable response; the debited part stays unused until a retry of the same transaction is resolved.')
export const ticketRefused = defineEvent('FT512', 'info', 'Ticket not issued',
  'The team or the entry has too many open tickets.')
export const ticketDuplicate = defineEvent('FT513', 'info', 'Duplicate request with a ticket',
  'A request with the same ticket was running or had ended; the duplicate did not run.')
export const allotmentMalformed = defineEvent('FT514', 'error', 'Allotment row malformed',
  'The row does not match its schema; this entry continues with the part that it held before.')
