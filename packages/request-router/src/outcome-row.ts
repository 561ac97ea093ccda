import type { JournalEntry } from '@acaciahoist/types/journal-entry';

/** Number of requests of a user, team and service that had one outcome, as reported to the account. */
export type OutcomeRow = Extract<JournalEntry, { type: 'requests-counted' }>['rows'][number];
