/** Limits that apply to each runner at one time. */
export interface SlotLimits {
  /** Slots that the owner may grant under its authority. */
  usable: number;
  /** Slots that unreported grants of predecessors may use. */
  quarantined: number;
}
