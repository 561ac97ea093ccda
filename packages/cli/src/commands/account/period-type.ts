import type { Type } from 'cmd-ts';
import { periodBounds } from '@acaciahoist/account/period-bounds';

/** Argument type for the name of an account period, a month or a day. */
export const periodType: Type<string, string> = {
  displayName: 'PERIOD',
  from: (text) => {
    if (periodBounds(text) !== undefined) return Promise.resolve(text);
    return Promise.reject(
      new Error(
        `"${text}" is not a period; write a month such as 2026-12 or a day such as 2026-12-04`,
      ),
    );
  },
};
