/** Calls for advice that can go out in a round; lanes that are kept for prompt steps serve no others. */
export interface AskBudget {
  prompt: number;
  other: number;
}
