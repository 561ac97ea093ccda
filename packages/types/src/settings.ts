import type { EntrySettings } from './entry-settings.js';
import type { StandInSettings } from './stand-in-settings.js';

/** Settings of one process, distinguished by `role`. */
export type Settings = EntrySettings | StandInSettings;
