/** A process of the system. A restart gives a new incarnation. */
export interface ProcessIdentity {
  /** Permanent name: the address `ip:port` at which peers reach the process. */
  process: string;
  /** Random identifier of the time from the start to the end of the process. */
  incarnation: string;
  dataCentre: string;
}
