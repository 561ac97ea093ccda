import { createHash } from 'node:crypto';
import type { Team } from '@acaciahoist/cell-types/team';

/** The value of the `authorization` header; the scheme is case-insensitive, as in all HTTP authentication. */
const CREDENTIALS_PATTERN = /^token +(.+)$/i;

/**
 * Finds the team of a caller by the key that it sends. Keys are kept and compared only as SHA-256 digests, so that
 * the time of a comparison reveals nothing about a key.
 */
export class TeamKeys {
  /** Hashes the keys of all teams. A key that is listed for several teams belongs to the first of them. */
  static create(teams: readonly Team[]): TeamKeys {
    const teamsByDigest = new Map<string, string>();
    for (const team of teams)
      for (const key of team.keys) {
        const digest = computeDigest(Buffer.from(key));
        if (!teamsByDigest.has(digest)) teamsByDigest.set(digest, team.name);
      }
    return new TeamKeys(teams.length > 0, teamsByDigest);
  }

  private constructor(
    /** False when the configuration has no teams, so that callers need no key. */
    readonly areRequired: boolean,
    private readonly teamsByDigest: ReadonlyMap<string, string>,
  ) {}

  /** Name of the team whose key an `authorization` header holds; undefined for none. */
  findTeam(authorization: string | undefined): string | undefined {
    const key = CREDENTIALS_PATTERN.exec(authorization ?? '')?.[1];
    // An HTTP header arrives as one character per byte.
    return key === undefined
      ? undefined
      : this.teamsByDigest.get(computeDigest(Buffer.from(key, 'latin1')));
  }
}

function computeDigest(key: Uint8Array): string {
  return createHash('sha256').update(key).digest('base64');
}
