/** Interface to the platform's table service, object store and VM list. */
import type { Row, TableQuery, TableRead, Transaction, VmList } from '@fuchsiatally/core'
import type { Result } from 'neverthrow'

/** The platform gave no usable answer within the bounds. */
export interface PlatformFailure {
  readonly kind: 'unavailable' | 'rateLimited' | 'timeout' | 'malformed'
  readonly message: string
  /** No connection came about: nothing of the call reached the other side. */
  readonly notSent?: true
}

/** A transaction whose fate is settled. */
export type TransactionOutcome =
  | { readonly kind: 'applied', readonly revision: number, readonly rows: readonly Row[] }
  /** Nothing was written by this try; `rows` are the checked rows as they stand. */
  | {
    readonly kind: 'conflict'
    readonly revision: number
    readonly rows: readonly Row[]
    /** An earlier try of the same transaction may have taken effect: every row that it writes was written again since. */
    readonly mayHaveApplied?: true
  }

/** Typed access to the platform; every method answers within its timeout. */
export interface PlatformClient {
  /**
   * Applies a transaction at most once. A failure means that its fate is not known yet: calling again
   * with the same transaction settles it. A transaction has to check every row that it writes; without
   * that a try which lands late would overwrite newer rows. `rows` leave out deleted rows; after an
   * earlier try was settled by a conflict, `rows` of `applied` are the rows as they stand now.
   */
  transact: (transaction: Transaction) => Promise<Result<TransactionOutcome, PlatformFailure>>
  read: (query: TableQuery) => Promise<Result<TableRead, PlatformFailure>>
  listVms: () => Promise<Result<VmList, PlatformFailure>>
  putObject: (key: string, body: Uint8Array) => Promise<Result<null, PlatformFailure>>
  getObject: (key: string) => Promise<Result<Uint8Array | null, PlatformFailure>>
}
