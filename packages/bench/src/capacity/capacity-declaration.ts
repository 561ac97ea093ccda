/** Returns a declaration of one data centre; `changeNumber` makes the text of each revision differ. */
export function capacityDeclaration(partitions: number, changeNumber = 0): Record<string, unknown> {
  return {
    dataCentres: [{ name: 'dc', region: 'r', partitions }],
    users: [{ name: 'u', teams: [{ name: 't', quotaPerMille: 1_000 }] }],
    services: [
      {
        name: 'lookup',
        user: 'u',
        team: 't',
        repeatable: true,
        lane: 'prompt',
        deadlineMs: 1_000 + changeNumber,
      },
    ],
  };
}
