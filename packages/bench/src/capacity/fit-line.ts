/** Fits a least-squares line; `deviation` is the standard deviation of the points from it. */
export function fitLine(points: readonly { x: number; y: number }[]): {
  slope: number;
  intercept: number;
  deviation: number;
} {
  const count = points.length;
  const mean = (pick: (point: { x: number; y: number }) => number): number =>
    points.reduce((sum, point) => sum + pick(point), 0) / count;
  const meanX = mean(({ x }) => x);
  const meanY = mean(({ y }) => y);
  const varianceX = mean(({ x }) => (x - meanX) ** 2);
  const covariance = mean(({ x, y }) => (x - meanX) * (y - meanY));
  const slope = varianceX === 0 ? 0 : covariance / varianceX;
  const intercept = meanY - slope * meanX;
  const deviation = Math.sqrt(mean(({ x, y }) => (y - intercept - slope * x) ** 2));
  return { slope, intercept, deviation };
}
