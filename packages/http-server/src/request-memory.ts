interface Holder {
  bytes: number;
  /** Closes the connection of the request. Undefined once the request is complete: it is not evicted any more. */
  evict: (() => void) | undefined;
}

/** Size in bytes of a request that is small: most have a body of some kB, and none has longer headers. */
const SMALL_REQUEST_BYTES = 24_576;
/** Memory up to which small requests are accepted, as a multiple of the limit, when complete ones take it. */
const SMALL_REQUEST_FACTOR = 1.5;

/**
 * Memory for all requests that are being received or answered. When it is used up, the largest request that is being
 * received is given up, so that clients with small requests are served beside clients that hold large ones open.
 */
export class RequestMemory {
  static create(maxBytes: number): RequestMemory {
    return new RequestMemory(maxBytes);
  }

  private readonly holders = new Set<Holder>();
  private bytes = 0;

  private constructor(private readonly maxBytes: number) {}

  get usedBytes(): number {
    return this.bytes;
  }

  /** Adds a request without bytes. */
  open(evict: () => void): Holder {
    const holder: Holder = { bytes: 0, evict };
    this.holders.add(holder);
    return holder;
  }

  /**
   * Increases the memory of a request to `bytes`. Other requests, or this one, may be evicted; returns false when it
   * was this one, now or before.
   */
  grow(holder: Holder, bytes: number): boolean {
    // Data of an evicted request still arrives until its connection is closed.
    if (!this.holders.has(holder)) return false;
    this.bytes += bytes - holder.bytes;
    holder.bytes = bytes;
    while (this.bytes > this.maxBytes && this.holders.has(holder)) {
      const largest = this.findLargest();
      if (largest === undefined || (largest === holder && this.isInReserve(holder))) break;
      this.release(largest);
      largest.evict?.();
    }
    return this.holders.has(holder);
  }

  /** Must be called when the request is complete. */
  keep(holder: Holder): void {
    holder.evict = undefined;
  }

  release(holder: Holder): void {
    if (this.holders.delete(holder)) this.bytes -= holder.bytes;
  }

  private isInReserve(holder: Holder): boolean {
    return (
      holder.bytes <= SMALL_REQUEST_BYTES && this.bytes <= SMALL_REQUEST_FACTOR * this.maxBytes
    );
  }

  private findLargest(): Holder | undefined {
    let largest: Holder | undefined;
    for (const holder of this.holders) {
      if (holder.evict === undefined) continue;
      if (largest === undefined || holder.bytes > largest.bytes) largest = holder;
    }
    return largest;
  }
}
