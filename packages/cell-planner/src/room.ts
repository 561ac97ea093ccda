/** Room of a worker or size of a task. */
export interface Room {
  millicores: number;
  memoryMib: number;
  accelerators: number;
}
