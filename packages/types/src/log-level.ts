/** Lowest level of the events that a process logs. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';
