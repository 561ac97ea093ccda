/** Declaration of the quickstart: two users, a service that depends on another, three data centres. */
export const sampleDeclaration = `{
  // Two users share the cell; quotas are per mille of it.
  "dataCentres": [
    { "name": "north-1", "region": "north", "partitions": 1 },
    { "name": "north-2", "region": "north", "partitions": 1 },
    { "name": "north-3", "region": "north", "partitions": 1 },
  ],
  "users": [
    { "name": "capsula", "teams": [{ "name": "registry", "quotaPerMille": 500 }] },
    { "name": "luz-norte", "teams": [
      { "name": "aurora", "quotaPerMille": 250 },
      { "name": "boreal", "quotaPerMille": 250 },
    ] },
  ],
  "services": [
    { "name": "records", "user": "capsula", "team": "registry", "kind": "service", "instances": 3,
      "resources": { "millicores": 2000, "memoryMib": 2048 },
      "repeatable": true, "lane": "prompt", "deadlineMs": 2000 },
    // Started after the service that it depends on.
    { "name": "sealing", "user": "capsula", "team": "registry", "kind": "service", "instances": 3,
      "dependsOn": ["records"], "resources": { "millicores": 1000, "memoryMib": 1024 },
      "repeatable": false, "lane": "heavy", "deadlineMs": 3000 },
  ],
}
`;
