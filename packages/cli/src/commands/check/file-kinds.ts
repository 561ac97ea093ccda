/** Kinds of files that the command `check` accepts. */
export const fileKinds = ['declaration', 'settings', 'job'] as const;
