/** Decoding of untrusted input against a schema, with all faults reported at once. */
import * as Result from 'effect/Result'
import * as Schema from 'effect/Schema'
import { err, ok, type Result as Outcome } from 'neverthrow'

/** Error for input that does not match its schema; `message` lists each fault with its path. */
export interface DecodeError {
  readonly kind: 'decodeError'
  readonly message: string
}

/** Creates a decoder that rejects unknown fields and collects all faults. */
export function createDecoder<S extends Schema.ConstraintDecoder<unknown, never>> (
  schema: S
): (input: unknown) => Outcome<S['Type'], DecodeError> {
  const decode = Schema.decodeUnknownResult(schema, { errors: 'all', onExcessProperty: 'error' })
  return (input) => {
    const result = decode(input)
    if (Result.isSuccess(result)) return ok(result.success)
    return err({ kind: 'decodeError', message: String(result.failure.message) })
  }
}
