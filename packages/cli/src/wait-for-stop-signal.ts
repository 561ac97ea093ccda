/**
 * Resolves at the first SIGTERM or SIGINT. Further signals are reported and change nothing, so that a
 * second one does not cut off requests in flight.
 */
export function waitForStopSignal(onRepeatedSignal: () => void): Promise<void> {
  return new Promise((resolve) => {
    let isStopping = false;
    const onSignal = (): void => {
      if (isStopping) onRepeatedSignal();
      isStopping = true;
      resolve();
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}
