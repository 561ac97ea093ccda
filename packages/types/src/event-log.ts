/** Logs one event. Fields hold ids, counts and times; never tokens, bodies or declaration texts. */
export type EventLog = (
  level: 'debug' | 'info' | 'warn' | 'error',
  event: string,
  fields?: Readonly<Record<string, string | number | boolean | null | undefined>>,
) => void;
