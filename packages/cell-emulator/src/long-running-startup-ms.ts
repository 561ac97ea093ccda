/** Time in ms from the start of a long-running task until an emulated worker lists it as at work. */
export const longRunningStartupMs = 300;
