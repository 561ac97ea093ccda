import type { JournalEntry } from '@acaciahoist/types/journal-entry';

/** Number and total wait of the requests of a user, team and service with one outcome, for the account. */
export type OutcomeRow = Extract<JournalEntry, { type: 'requests-counted' }>['rows'][number];
