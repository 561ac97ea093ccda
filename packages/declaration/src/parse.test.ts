import { test } from 'node:test';
import { expect } from 'earl';
import type { Result } from 'true-myth/result';
import { checkLayoutChange } from './check-layout-change.js';
import type { Fault } from './fault.js';
import { formatFault } from './format-fault.js';
import { parseDeclaration } from './parse-declaration.js';
import { parseJobSpec } from './parse-job-spec.js';
import { parseSettings } from './parse-settings.js';

// These tests use fixed texts and no seed.

function listFaults(result: Result<unknown, readonly Fault[]>): readonly Fault[] {
  return result.isErr ? result.error : [];
}

function formatFaults(result: Result<unknown, readonly Fault[]>): string[] {
  return listFaults(result).map(formatFault);
}

// Guards against a fault that hides others, and against locations that comments or characters outside of ASCII
// shift.
test('the declaration parser reports all faults of a text, each with its location', () => {
  const text = `{
  // a comment, which must not shift positions: é ü 😀
  "dataCentres": [{ "name": "a", "region": "r", "partitions": "2" }],
  "users": [{ "name": "u", "teams": [
    { "name": "t", "quotaPerMille": 700 }, { "name": "v", "quotaPerMille": 400 }] }],
  "services": [
    { "name": "s", "user": "u", "team": "t", "repeatable": true, "lane": "prompt",
      "deadlineMS": 5, "deadlineMs": "5s", "dependsOn": ["x"] }
  ]
}`;
  expect(formatFaults(parseDeclaration(text, 'd'))).toEqual([
    'd:3:63: dataCentres[0].partitions: "2" is not allowed here; write integer 1 to 64',
    'd:5:76: users[0].teams[1].quotaPerMille: the quotas of all teams add up to 1100 per mille; lower quotas by 100 in all; together they may have at most 1000',
    'd:8:7: services[0].deadlineMS: the field "deadlineMS" is unknown; did you mean "deadlineMs"?',
    'd:8:38: services[0].deadlineMs: "5s" is not allowed here; the unit is part of the field name: write 5000',
    'd:8:58: services[0].dependsOn[0]: the service "x" is not declared; did you mean "s"?',
  ]);
});

// Guards against a published declaration with services that belong to no team or can never start.
test('the declaration parser rejects undeclared users, duplicates, cycles and inconsistent instances', () => {
  const service = (name: string, rest: string) =>
    `{ "name": "${name}", "user": "u", "team": "t", "repeatable": true, "lane": "heavy", "deadlineMs": 1, ${rest} }`;
  const text = `{ "dataCentres": [{ "name": "a", "region": "r", "partitions": 1 }],
  "users": [{ "name": "u", "teams": [{ "name": "t", "quotaPerMille": 1 }] }], "services": [
  ${service('alpha', '"dependsOn": ["beta", "beta"]')},
  ${service('beta', '"dependsOn": ["gamma"]')},
  ${service('gamma', '"dependsOn": ["alpha"], "instances": 2, "minRacks": 3')},
  ${service('gamma', '"kind": "batch", "instances": 1, "backOffMs": 70000').replace('"u"', '"w"')}, ] }`;
  const problems = listFaults(parseDeclaration(text, 'd')).map(({ path, problem }) => [
    path,
    problem,
  ]);
  expect(problems).toEqual([
    ['services[0].dependsOn[1]', '"beta" is already used at services[0].dependsOn[0]'],
    ['services[2].resources', 'the instances have no resources'],
    ['services[2].dependsOn[0]', 'dependency cycle alpha → beta → gamma → alpha'],
    ['services[2].minRacks', '2 instances cannot be spread over 3 racks'],
    ['services[3].resources', 'the instances have no resources'],
    ['services[3].name', '"gamma" is already used at services[2].name'],
    ['services[3].user', '"w" is not among users'],
    ['services[3].instances', 'kind "batch" has no instances'],
    ['services[3].backOffMs', 'backOffMs 70000 exceeds maxBackOffMs 60000'],
  ]);
});

// Guards against a process that starts although other processes cannot reach it, one lost renewal ends its lease
// or a token has no clear owner.
test('the settings parser rejects unusable addresses, lease times, tokens and data centres', () => {
  const entry = `{ "role": "entry", "listen": "127.0.0.1:1", "peerListen": "127.0.0.1:1",
  "dataCentre": "a", "region": "r", "seeds": ["localhost:5", "127.0.0.1:65536"],
  "platform": { "logUrl": "http://127.0.0.1:2", "vmListUrl": "https://127.0.0.1:2" },
  "tokens": [{ "token": "0123456789abcdef", "caller": "c", "mayApply": true }, { "token": "short", "operator": "o", "caller": "c" }],
  "renewMs": 1300, "leaseMs": 2500 }`;
  expect(listFaults(parseSettings(entry, 's')).map(({ path }) => path)).toEqual([
    'peerListen',
    'seeds[0]',
    'seeds[1]',
    'platform.vmListUrl',
    'tokens[0].mayApply',
    'tokens[1]',
    'tokens[1].token',
    'renewMs',
  ]);
  const standIn = `{ "role": "stand-in", "listen": "127.0.0.1:65530", "entries": [{ "address": "127.0.0.1:5", "dataCentre": "b1" }],
  "dataCentres": [{ "name": "b" }, { "name": "c" }], "runnersPerDataCentre": 3, "workersPerDataCentre": 4 }`;
  expect(formatFaults(parseSettings(standIn, 's'))).toEqual([
    's:1:33: listen: 16 ports from 65530 on go beyond 65535; use at most 65520',
    's:1:106: entries[0].dataCentre: "b1" is not among "dataCentres"; did you mean "b"?',
  ]);
  expect(formatFaults(parseSettings('{ "role": "entri" }', 's'))[0]).toEqual(
    's:1:1: listen: the field "listen" is missing; add "listen": "127.0.0.1:7100" or another address',
  );
});

// Guards against a job that cannot be repeated safely for lack of a key, and against values in another unit.
test('the job parser reports all faults of a decoded value, among them an unrepeatable job without a key', () => {
  const resources = { millicores: 0.5, memoryMib: '2 GiB' };
  const groups = [
    { name: 'g', count: 10_000, resources },
    { name: 'h', count: 1, resources: {} },
  ];
  const job = { family: 'f', user: 'u', team: 't', kind: 'gang', repeatable: false, groups };
  const timed = { ...job, startAtMs: 10, dueAtMs: 9 };
  expect(formatFaults(parseJobSpec(timed, 'body'))).toEqual([
    'body: groups[0].resources.millicores: 0.5 is not allowed here; the unit is part of the field name: write 500',
    'body: groups[0].resources.memoryMib: "2 GiB" is not allowed here; the unit is part of the field name: write 2048',
    'body: groups[1].resources.millicores: the field "millicores" is missing; add "millicores": integer 0 to 1024000',
    'body: groups[1].resources.memoryMib: the field "memoryMib" is missing; add "memoryMib": integer 0 to 16777216',
    'body: key: a job that is not repeatable has no key; add "key", an idempotency key',
    'body: runMs: the run time is missing; add "runMs", the run time of one task in ms',
    'body: dueAtMs: the job is due before it may start; use at least 10',
    'body: groups: the job has 10001 tasks; use at most 10000, or several jobs',
  ]);
});

// Guards against jobs and keys that are searched for in another partition than the one that has them.
test('the layout check rejects a revision that would move keys between partitions', () => {
  const parse = (dataCentres: string) =>
    parseDeclaration(
      `{ "dataCentres": [${dataCentres}], "users": [{ "name": "u", "teams": [{ "name": "t", "quotaPerMille": 1 }] }], "services": [] }`,
      'd',
    ).unwrapOrElse((faults) => {
      throw new Error(faults.map(formatFault).join('\n'));
    });
  const a = '{ "name": "a", "region": "r", "partitions": 2 }';
  const b = '{ "name": "b", "region": "r", "partitions": 1 }';
  const before = parse(`${a}, ${b}`);
  expect(checkLayoutChange(before, parse(`${b}, ${a.replace('"r"', '"q"')}`)).isOk).toEqual(true);
  for (const changed of [a, `${a}, ${b.replace('1', '2')}`, `${a}, ${b}, ${b.replace('b', 'c')}`]) {
    const result = checkLayoutChange(before, parse(changed));
    expect(result.isErr && result.error.kind).toEqual('bad-declaration');
  }
});
