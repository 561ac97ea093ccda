/** Capacity of a worker or demand of a task. */
export interface Room {
  millicores: number;
  memoryMib: number;
  accelerators: number;
}
