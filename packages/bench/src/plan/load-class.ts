/** A kind of job in a simulated load. Sizes and times vary from job to job around their means. */
export interface LoadClass {
  name: string;
  jobsPerS: number;
  priority: number;
  /** Worth of a job of mean size within its objective; late it is a fifth of that. */
  worth: number;
  stretch: number;
  baseMs: number;
  /** Probability of a second step after the first. */
  secondStep: number;
  width: number;
  maxWidth: number;
  millicores: number;
  maxMillicores: number;
  memoryMib: number;
  maxMemoryMib: number;
  workMs: number;
  maxWorkMs: number;
  /** Logarithmic spread of widths, sizes and work. */
  spread: number;
  /** An estimate differs from the work by up to this share. */
  estimateOff: number;
  /** Share of the steps that are gangs. */
  gang: number;
  advice: { decisionMs: number; perWorkerMs: number; ticketMs: number; allowedShare: number };
}
