/** Returns the declaration of the recovery runs. `note` makes the text of a revision differ from others. */
export function recoveryDeclaration(note: string): string {
  return JSON.stringify({
    dataCentres: [{ name: 'dc-a', region: note, partitions: 2 }],
    users: [{ name: 'u', teams: [{ name: 't', quotaPerMille: 1000 }] }],
    services: [
      {
        name: 'lookup',
        user: 'u',
        team: 't',
        kind: 'service',
        instances: 1,
        resources: { millicores: 100, memoryMib: 64 },
        repeatable: true,
        lane: 'prompt',
        deadlineMs: 2_000,
      },
      {
        name: 'sealing',
        user: 'u',
        team: 't',
        kind: 'service',
        instances: 1,
        resources: { millicores: 100, memoryMib: 64 },
        repeatable: false,
        lane: 'heavy',
        deadlineMs: 2_000,
      },
    ],
  });
}
