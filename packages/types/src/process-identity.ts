/** A process of the system. A restart gives a new incarnation. */
export interface ProcessIdentity {
  /** Permanent name: the address `ip:port` at which peers reach the process. */
  process: string;
  /** Random identifier of one run of the process, chosen at its start. */
  incarnation: string;
  dataCentre: string;
}
