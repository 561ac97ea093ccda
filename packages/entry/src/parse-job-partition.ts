/** Returns the partition in a job id `<partition>:<number>`, or undefined when the id is malformed. */
export function parseJobPartition(jobId: string): string | undefined {
  const colon = jobId.lastIndexOf(':');
  return colon > 0 && /^\d+$/.test(jobId.slice(colon + 1)) ? jobId.slice(0, colon) : undefined;
}
