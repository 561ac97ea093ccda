/** The claim in force. */
export interface CellOwnerClaim {
  owner: string;
  /** Address `ip:port` at which the owner takes calls of other processes. */
  address: string;
  /** Fencing token: rises with each claim. */
  token: number;
  released: boolean;
}
