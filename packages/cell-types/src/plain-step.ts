import type { CellStep } from './cell-step.js';

/**
 * A step of one small task with every option off. Tests and emulators override the fields that they
 * need.
 */
export const plainStep: CellStep = {
  count: 1,
  millicores: 1_000,
  memoryMib: 100,
  accelerators: 0,
  estimateMs: 300,
  after: [],
  gang: false,
  sameRack: false,
  label: '',
  dataRack: '',
  maxPerWorker: 0,
  checkpointing: false,
  speculative: false,
  longRunning: false,
  usesSpareCpu: false,
  image: '',
  tailTargetMs: 0,
  maxUnavailable: 0,
};
