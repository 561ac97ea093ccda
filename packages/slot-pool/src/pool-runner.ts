/** A runner from the platform's list. */
export interface PoolRunner {
  /** `ip:port` */
  address: string;
  services: readonly string[];
  state: 'live' | 'leaving';
}
