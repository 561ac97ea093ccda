import { Result } from 'true-myth/result';
import { JsonFields } from '@acaciahoist/http-client/json-fields';
import type { ControlCall } from './control-call.js';
import { endpointFaultTables } from './endpoint-fault-tables.js';
import { linkFaultTable } from './link-fault-table.js';
import { logFaultTable } from './log-fault-table.js';
import type { LifeCycle } from './life-cycle.js';
import type { PlatformMember } from './platform-member.js';

const { workers, runners, vmLists } = endpointFaultTables;

/** Targets that select all members of one kind. */
const KIND_BY_TARGET: ReadonlyMap<string, PlatformMember['kind']> = new Map([
  ['log', 'log'],
  ['vm-list', 'vm-list'],
  ['workers', 'worker'],
  ['runners', 'runner'],
]);

/** Returns the members that the target of a control call selects: all, one kind, or one address. */
function findMembers(members: readonly PlatformMember[], target: string): PlatformMember[] {
  const kind = KIND_BY_TARGET.get(target);
  return members.filter(
    (member) =>
      target === 'all' ||
      (kind === undefined ? member.endpoint.address === target : member.kind === kind),
  );
}

/** Returns the function that sets a fault of the member, or undefined when it has no such fault. */
function findFault(
  member: PlatformMember,
  fault: string,
): ((fields: JsonFields) => void) | undefined {
  const applyLinkFault = linkFaultTable.get(fault);
  if (applyLinkFault !== undefined) {
    return (fields) => {
      applyLinkFault(member, fields);
    };
  }
  switch (member.kind) {
    case 'log':
      return bindFault(logFaultTable.get(fault), member.log);
    case 'vm-list':
      return bindFault(vmLists.get(fault), member.vmList);
    case 'worker':
      return bindFault(workers.get(fault), member.worker);
    case 'runner':
      return bindFault(runners.get(fault), member.runner);
  }
}

/** Binds a fault of the table to the member that it changes; undefined when there is no such fault. */
function bindFault<Target>(
  apply: ((target: Target, fields: JsonFields) => void) | undefined,
  target: Target,
): ((fields: JsonFields) => void) | undefined {
  if (apply === undefined) return undefined;
  return (fields) => {
    apply(target, fields);
  };
}

/**
 * Applies a control call to the members of its target and counts those that have the fault.
 * `inForce` resolves when the members that the call starts or stops have opened or closed their
 * sockets.
 */
export function applyControlCall(
  members: readonly PlatformMember[],
  lifeCycle: LifeCycle,
  call: ControlCall,
): Result<{ reached: number; inForce: Promise<unknown> }, string> {
  const targets = findMembers(members, call.target);
  if (targets.length === 0) return Result.err(`no member matches the target ${call.target}`);
  const body = Buffer.from(JSON.stringify(call));
  const pending: Promise<void>[] = [];
  let reached = 0;
  for (const member of targets) {
    const apply = lifeCycle.findFault(member, call.fault, pending) ?? findFault(member, call.fault);
    if (apply === undefined) continue;
    const applied = JsonFields.read(body, apply);
    if (applied.isErr) return Result.err(applied.error);
    reached += 1;
  }
  if (reached === 0)
    return Result.err(`no member of the target ${call.target} has the fault ${call.fault}`);
  return Result.ok({ reached, inForce: Promise.all(pending) });
}
