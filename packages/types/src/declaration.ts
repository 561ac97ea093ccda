import type { ServiceDeclaration } from './service-declaration.js';
import type { TeamQuota } from './team-quota.js';

/** Content of the text that operators publish, after parsing and validation. */
export interface Declaration {
  dataCentres: readonly { name: string; region: string; partitions: number }[];
  users: readonly { name: string; teams: readonly TeamQuota[] }[];
  services: readonly ServiceDeclaration[];
  /** Length of the account periods. */
  period: 'day' | 'month';
  /** Share of the capacity of each partition kept free for urgent and scheduled work, in per mille. */
  urgentReservePerMille: number;
}
