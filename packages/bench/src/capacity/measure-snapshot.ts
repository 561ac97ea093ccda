import { request } from 'undici';
import { pageCodec } from '@acaciahoist/http-client/page-codec';
import { Journal } from '@acaciahoist/journal';
import { encodeRecord } from '@acaciahoist/journal/encode-record';

/** Replays the journal of a partition to its current end and returns the size of a snapshot there, bytes. */
export async function measureSnapshot(log: string, partition: string): Promise<number> {
  const journal = Journal.create(partition);
  let next = 0;
  for (;;) {
    const path = `/streams/journal.${partition}?from=${next}&waitMs=0&maxBytes=2000000`;
    const response = await request(`http://${log}${path}`, {
      headers: { accept: 'application/octet-stream' },
    });
    const page = pageCodec.decode(Buffer.from(await response.body.arrayBuffer()));
    if (page.isErr) throw new Error(page.error);
    const { records } = page.value;
    for (const record of records) journal.apply(record);
    const last = records.at(-1);
    if (last === undefined) break;
    next = last.offset + 1;
  }
  const encoded = encodeRecord(journal.snapshot(next, 0));
  return encoded.isOk ? encoded.value.length : 0;
}
