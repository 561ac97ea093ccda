import { test } from 'node:test';
import { expect } from 'earl';
import { createEventLog } from './create-event-log.js';

// Guards against lines that a parser of key=value pairs splits in the wrong place, because a value contains a
// quote, a space, an equals sign or a line break.
test('the event log writes an event as one line of quoted key=value pairs and drops one below its level', () => {
  const lines: string[] = [];
  const log = createEventLog({
    process: '127.0.0.1:1',
    level: 'info',
    write: (line) => lines.push(line),
  });
  log('info', 'job-accepted', { job: 'dc-a.0:1', reason: 'a "b" = c\nd' });
  log('debug', 'hidden');
  expect(lines.length).toEqual(1);
  expect(lines[0] ?? '').toMatchRegex(
    /^time=\S+ level=info event=job-accepted process=127\.0\.0\.1:1 job=dc-a\.0:1 reason="a \\"b\\" = c\\nd"\n$/,
  );
});
