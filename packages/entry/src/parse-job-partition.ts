/** The partition named by a job id `<partition>:<number>`, or undefined. */
export function parseJobPartition(jobId: string): string | undefined {
  const colon = jobId.lastIndexOf(':');
  return colon > 0 && /^\d+$/.test(jobId.slice(colon + 1)) ? jobId.slice(0, colon) : undefined;
}
