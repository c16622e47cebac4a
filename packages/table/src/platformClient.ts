/** Interface of the client to the platform's table service, object store and VM list. */
import type { Row, TableQuery, TableRead, Transaction, VmList } from '@fuchsiatally/core'
import type { Result } from 'neverthrow'

/** The platform returned no usable response within the time and size limits. */
export interface PlatformFailure {
  readonly kind: 'unavailable' | 'rateLimited' | 'timeout' | 'malformed'
  readonly message: string
  /** The connection was refused, so the request was never sent. */
  readonly notSent?: true
  /** The event loop of this process was late, so that the timeout says nothing about the platform. */
  readonly isOwnDelay?: true
}

/** Definite outcome of a transaction. */
export type TransactionOutcome =
  | { readonly kind: 'applied', readonly revision: number, readonly rows: readonly Row[] }
  /** This attempt wrote nothing; `rows` holds the current state of the checked rows. */
  | {
    readonly kind: 'conflict'
    readonly revision: number
    readonly rows: readonly Row[]
    /** An earlier attempt may have been applied. The table no longer shows it, because every row that the transaction writes has been overwritten since. */
    readonly mayHaveApplied?: true
  }

/** Typed access to the platform; every method settles within its timeout. */
export interface PlatformClient {
  /**
   * Applies a transaction at most once. A failure leaves the transaction in doubt; calling again with the
   * same transaction and write id resolves it. A transaction must check every row that it writes, otherwise a
   * delayed attempt could overwrite newer rows. `rows` excludes deleted rows. If the rows of a conflict show that
   * an earlier attempt was applied, the outcome is `applied` with those rows, which others may have changed since.
   */
  transact: (transaction: Transaction) => Promise<Result<TransactionOutcome, PlatformFailure>>
  read: (query: TableQuery) => Promise<Result<TableRead, PlatformFailure>>
  listVms: () => Promise<Result<VmList, PlatformFailure>>
  putObject: (key: string, body: Uint8Array) => Promise<Result<null, PlatformFailure>>
  getObject: (key: string) => Promise<Result<Uint8Array | null, PlatformFailure>>
}
