import { test } from 'node:test';
import { expect } from 'earl';
import { PartitionLayout } from '@acaciahoist/entry/partition-layout';
import { encodeRecord } from '@acaciahoist/journal/encode-record';
import { StandIn } from '@acaciahoist/stand-in';
import type { JournalEntry } from '@acaciahoist/types/journal-entry';
import type { JournalRecord } from '@acaciahoist/types/journal-record';
import { readJournalEvents } from './read-journal-events.js';

const CLAIM: JournalEntry = {
  type: 'key-claimed',
  key: 'k',
  requestDigest: 'd',
  service: 's',
  user: 'u',
  team: 't',
  atMs: 0,
};

function createOutcome(
  outcome: (JournalEntry & { type: 'key-done' })['outcome'],
  bodyDigest: string | null,
): JournalEntry {
  const reply =
    bodyDigest === null ? null : { status: 200, contentType: 'text/plain', body: null, bodyDigest };
  return { type: 'key-done', key: 'k', outcome, reply, atMs: 0 };
}

/** Returns the outcomes that are read from a journal with one commit for each entry. */
function readOutcomes(...entries: JournalEntry[]): string[] {
  const layout = PartitionLayout.create({
    dataCentres: [{ name: 'dc-a', region: 'r', partitions: 1 }],
  });
  const standIn = StandIn.create({});
  const holder = { process: 'p', incarnation: '1', dataCentre: 'dc-a' };
  const records: JournalRecord[] = [
    { type: 'claim', holder, replaces: -1 },
    ...entries.map((entry, index): JournalRecord => {
      return { type: 'commit', token: 0, sequence: index + 1, entries: [entry] };
    }),
  ];
  for (const record of records) {
    void standIn.log.handle({
      method: 'POST',
      path: '/streams/journal.dc-a.0',
      query: new URLSearchParams(),
      headers: {},
      body: Buffer.from(encodeRecord(record).unwrapOr(new Uint8Array())),
      process: 'p',
      receivedMs: 0,
    });
  }
  return readJournalEvents({ layout, standIn }).flatMap((event) =>
    event.type === 'outcome-recorded' ? [event.outcome] : [],
  );
}

// Guards against a violation that is reported without a fault: an owner appends the outcomes of an append again when
// its result is unknown, and the journal ignores the repetition.
test('the journal events contain an outcome once when its append was repeated', () => {
  const unknown = createOutcome('unknown', null);
  expect(readOutcomes(CLAIM, unknown, unknown)).toEqual(['unknown']);
  const completed = createOutcome('completed', 'a');
  expect(readOutcomes(CLAIM, completed, completed)).toEqual(['completed']);
});

// Guards against a second, different outcome of a key that the history check does not see.
test('the journal events contain every outcome of a key that differs from the one before', () => {
  const completed = createOutcome('completed', 'a');
  const unknown = createOutcome('unknown', null);
  expect(readOutcomes(CLAIM, unknown, completed)).toEqual(['unknown', 'completed']);
  expect(readOutcomes(CLAIM, completed, unknown, completed)).toEqual([
    'completed',
    'unknown',
    'completed',
  ]);
  const otherReply = createOutcome('completed', 'b');
  expect(readOutcomes(CLAIM, completed, otherReply)).toEqual(['completed', 'completed']);
});

// Guards against a second run after a refusal whose outcome the history check does not see.
test('the journal events contain an equal outcome again after the key was claimed again', () => {
  const refused = createOutcome('refused', null);
  expect(readOutcomes(CLAIM, refused, CLAIM, refused)).toEqual(['refused', 'refused']);
});
