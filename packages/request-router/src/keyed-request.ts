import type { RoutedRequest } from './routed-request.js';

/** A request that must run at most once. */
export interface KeyedRequest extends RoutedRequest {
  key: string;
}
