import type { PeerCallMap } from '@acaciahoist/types/peer-call-map';

/** Name of a type of call between processes. */
export type PeerCallType = keyof PeerCallMap;
