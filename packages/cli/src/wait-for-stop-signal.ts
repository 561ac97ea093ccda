/**
 * Resolves at the first SIGTERM or SIGINT. Later signals only call `onRepeatedSignal`, so that a second
 * signal does not end the process before its outstanding requests are answered.
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
