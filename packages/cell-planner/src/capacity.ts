/** Capacity of a worker or demand of a task. */
export interface Capacity {
  millicores: number;
  memoryMib: number;
  accelerators: number;
}
