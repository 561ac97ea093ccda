/** What was learned about jobs of one family, relative to the declared values. */
export interface Family {
  name: string;
  /** Ratio of observed to declared use by resource; 1 until learned. */
  usageRatios: number[];
  /** Mean and deviation of the ratio of real to declared run time. */
  meanRunTimeRatio: number;
  runTimeRatioDeviation: number;
  runTimeSamples: number;
}
