/** The faults of the log that are in force. Control calls change them. */
export class LogFaults {
  static create(): LogFaults {
    return new LogFaults();
  }

  outage: 'none' | 'refuse' | 'silent' = 'none';
  /** Number of further appends that take effect but whose response is lost. */
  responsesToLose = 0;
  /** What the client receives instead of the lost response: nothing, or a closed connection. */
  lossDelivery: 'withhold' | 'close' = 'withhold';
  /**
   * Number of further appends that take effect only after `lateMs`, when the client has timed out.
   */
  appendsToDelay = 0;
  lateMs = 0;

  /** Counts an append whose response is lost; false when there is no such fault. */
  consumeLostResponse(): boolean {
    if (this.responsesToLose <= 0) return false;
    this.responsesToLose -= 1;
    return true;
  }

  /** Counts an append that takes effect late; false when there is no such fault. */
  consumeLateAppend(): boolean {
    if (this.appendsToDelay <= 0) return false;
    this.appendsToDelay -= 1;
    return true;
  }
}
