import type { PeerCallType } from './peer-call-type.js';
import { requestShapes } from './request-shapes.js';

/** Returns true for the name of a call type of this version. */
export function isPeerCallType(name: string): name is PeerCallType {
  return Object.hasOwn(requestShapes, name);
}
