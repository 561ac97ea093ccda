import type { ErrorKind } from './error-kind.js';

/** An error of one of the kinds in `ErrorKind`. Returned in a `Result`, never thrown across packages. */
export class Failure {
  static create(
    kind: ErrorKind,
    message: string,
    details?: Readonly<Record<string, unknown>>,
  ): Failure {
    return new Failure(kind, message, details);
  }

  private constructor(
    readonly kind: ErrorKind,
    /** Says what is wrong and how to correct it. */
    readonly message: string,
    readonly details: Readonly<Record<string, unknown>> | undefined,
  ) {}
}
