/** Faults of the log service, changed by control calls. */
export class LogFaults {
  static create(): LogFaults {
    return new LogFaults();
  }

  outage: 'none' | 'refuse' | 'silent' = 'none';
  /** The next appends of this number take effect and their response is lost. */
  responsesToLose = 0;
  /** How a lost response looks to the client. */
  lossDelivery: 'withhold' | 'close' = 'withhold';
  /** The next appends of this number take effect only after `lateMs`, when the client has given up. */
  appendsToDelay = 0;
  lateMs = 0;

  consumeLostResponse(): boolean {
    if (this.responsesToLose <= 0) return false;
    this.responsesToLose -= 1;
    return true;
  }

  consumeLateAppend(): boolean {
    if (this.appendsToDelay <= 0) return false;
    this.appendsToDelay -= 1;
    return true;
  }
}
