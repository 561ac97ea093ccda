/** Inputs of decisions whose names alone do not say what they hold. */
export const fieldMeanings: Readonly<Record<string, string>> = {
  storeSilentMs: 'duration of the outage of the store as this process saw it',
  replicaAgeMs: 'age of the replica of this process',
  waitedMs: 'time since the job was due',
  cellTimeMs: 'time of the cell when the line was written',
  timeoutMs: 'time that the client was willing to wait',
  ageMs: 'age of the replica or of the count',
  silentMs: 'time since the last record of the owner',
  contactAgeMs: 'time since another process with a replica answered',
  offset: 'position of the replica in the log',
  endedJobs: 'ended jobs that the replica kept',
  source: 'replica: of this process; heard: through another process',
};
