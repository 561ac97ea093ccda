/** Usage and run time of the tasks of one job family, as ratios to the declared values. */
export interface Family {
  name: string;
  /** Ratio of reported usage to declared demand by resource; a missing entry counts as 1. */
  usageRatios: number[];
  /** Mean and mean deviation of the ratio of actual to declared run time. */
  meanRunTimeRatio: number;
  runTimeRatioDeviation: number;
  runTimeSamples: number;
}
