/** Priority classes of requests, highest first. */
export const Lane = {
  prompt: 'prompt',
  heavy: 'heavy',
} as const;

export type Lane = (typeof Lane)[keyof typeof Lane];
