import type { Settings } from './settings.js';

/**
 * Settings in which every field is optional, including those of the log, VM list, workers and runners.
 */
export type PartialSettings = {
  [Name in keyof Settings]?: Name extends 'log' | 'vmList' | 'workers' | 'runners'
    ? Partial<Settings[Name]>
    : Settings[Name];
};
