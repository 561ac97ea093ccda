/**
 * Lowest speed that counts as that of the hardware; kinds of workers differ by less than this factor. A worker that is
 * slower is compared as it is, because a fault may have slowed it down for so long that its speed was learned.
 */
const MIN_HARDWARE_SPEED = 0.4;

/**
 * Corrects the ratio of a run time to its estimate by the learned speed of a slow worker, so that the worker counts as
 * slow only in comparison with itself. Load pattern: a kind of workers that always takes twice as long.
 */
export function correctRatio(ratio: number, speed: number | undefined): number {
  const isSlowHardware = speed !== undefined && speed >= MIN_HARDWARE_SPEED && speed < 1;
  return isSlowHardware ? ratio * speed : ratio;
}
