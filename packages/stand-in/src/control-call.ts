/** Body of `POST /control`: sets or ends one fault of one or several members. */
export interface ControlCall {
  /** `log`, `vm-list`, `workers`, `runners`, `all`, or the address of one member. */
  target: string;
  fault: string;
  /** Its type depends on the fault; the README lists them. */
  value: unknown;
}
