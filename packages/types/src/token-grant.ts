/** A token and the calls that it permits. */
export interface TokenGrant {
  /** Secret sent as `authorization: Bearer <token>`. */
  token: string;
  /** Name under which publications are recorded. Exactly one of `operator` and `caller` is present. */
  operator?: string;
  /** Name under which submissions are recorded. */
  caller?: string;
  /** Users whose work and account the token gives access to. */
  users: readonly string[];
  mayApply: boolean;
  maySubmit: boolean;
  mayReadAccount: boolean;
}
