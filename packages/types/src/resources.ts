/** An amount of processor capacity, memory and accelerators. All values are integers. */
export interface Resources {
  millicores: number;
  memoryMib: number;
  /** Number of accelerators by kind. */
  accelerators: Readonly<Record<string, number>>;
}
