/** States of a task; see `taskMachine`. */
export type TaskState =
  'waiting' | 'armed' | 'starting' | 'running' | 'checkpointing' | 'stopping' | 'ended';
