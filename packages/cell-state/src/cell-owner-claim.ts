/** The claim that is in force: the owner of the cell and its fencing token. */
export interface CellOwnerClaim {
  owner: string;
  /** Address `ip:port` at which the owner accepts calls of other processes. */
  address: string;
  /** Fencing token; each claim has a higher one. */
  token: number;
  /** True once the owner has given up ownership, so that another process may claim it at once. */
  released: boolean;
}
