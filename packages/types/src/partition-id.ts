/** `<dataCentre>.<index>`, the unit of ownership. */
export type PartitionId = string;
