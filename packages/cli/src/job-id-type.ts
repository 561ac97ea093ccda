import type { Type } from 'cmd-ts';

/** Argument type for a job id: `<partition>:<number>`, or 16 hexadecimal digits in the platform role. */
export const jobIdType: Type<string, string> = {
  displayName: 'JOB',
  description: 'job id as printed by submit, such as north-1.0:17, or of 16 hexadecimal digits',
  from: (text) => {
    if (/^(?:[a-z][a-z0-9-]*\.[0-9]+:[0-9]+|[0-9a-f]{16})$/.test(text))
      return Promise.resolve(text);
    return Promise.reject(new Error(`"${text}" is not a job id, such as north-1.0:17`));
  },
};
