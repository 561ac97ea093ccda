/** Quota of one team. */
export interface TeamQuota {
  name: string;
  /** Share of the capacity of the cell in per mille; other teams may use the part that is idle. */
  quotaPerMille: number;
}
