/** Addresses of the members in the form `ip:port`. */
export interface Addresses {
  /** Also serves `GET /vms`, `POST /control` and `GET /history`. */
  log: string;
  vmList: string;
  workers: readonly string[];
  runners: readonly string[];
}
