/** Addresses `ip:port` of the members. */
export interface Addresses {
  /** Also serves `GET /vms`, `POST /control` and `GET /history`. */
  log: string;
  vmList: string;
  workers: readonly string[];
  runners: readonly string[];
}
