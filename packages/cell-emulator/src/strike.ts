import { CallFault } from './call-fault.js';
import type { EmulatedCell } from './index.js';
import type { ScheduleFault } from './schedule-fault.js';

type Heal = () => void | Promise<void>;

/** Time in ms after which the entry of a worker that the store does not hear is removed. */
const ENTRY_MS = 4_500;
/** Additional time in ms of a call between processes, there and again back, on a slow way. */
const SLOW_WAY_MS = 300;

/** Brings a fault about; the function returned ends it. */
export function strike(cell: EmulatedCell, { kind, pick, forMs }: ScheduleFault): Heal {
  const worker = [...cell.workers.values()][pick % cell.workers.size];
  const owner = cell.ownerName() ?? 'p0';
  const picked = cell.processes[pick % cell.processes.length]?.name ?? 'p0';
  switch (kind) {
    case 'kill-owner':
      return killAll(cell, [owner]);
    case 'kill-all':
      return killAll(
        cell,
        cell.processes.map(({ name }) => name),
      );
    case 'owner-without-power': {
      cell.peers.withoutPower.add(owner);
      const boot = killAll(cell, [owner]);
      return () => {
        cell.peers.withoutPower.delete(owner);
        return boot();
      };
    }
    case 'store-refuses':
      return faultStore(cell, () => CallFault.refused);
    case 'store-silent':
      return faultStore(cell, () => CallFault.lost);
    case 'store-answers-lost':
      return faultStore(cell, () => CallFault.answerLost);
    case 'store-late':
      return faultStore(cell, (_caller, call) =>
        call === 'append' ? CallFault.late : CallFault.none,
      );
    case 'store-away-from-owner':
      return faultStore(cell, (caller) => (caller === owner ? CallFault.lost : CallFault.none));
    case 'worker-crash':
      worker?.crash();
      return () => {
        if (worker !== undefined) cell.addWorker(worker.entry.id);
      };
    case 'worker-gone':
      worker?.crash();
      return () => {
        cell.addWorker(`w${cell.workers.size}`);
      };
    case 'worker-cut':
      return cutWorkers(cell, (_process, id) => id === worker?.entry.id);
    case 'orders-late':
    case 'answers-lost': {
      const found = kind === 'orders-late' ? CallFault.late : CallFault.answerLost;
      if (worker !== undefined) worker.faultFor = () => found;
      return () => {
        if (worker !== undefined) worker.faultFor = () => CallFault.none;
      };
    }
    case 'cancel': {
      const id = [...cell.accepted][pick];
      if (id !== undefined) void cell.cancel(id, 'p1');
      return () => undefined;
    }
    case 'data-centre-cut':
      return cutDataCentre(cell, cell.dataCentreOf(picked));
    case 'peers-cut':
    case 'peers-cut-inward':
    case 'peers-cut-outward':
      return faultPeers(cell, (caller, callee) => {
        const isOutward = caller === picked && kind !== 'peers-cut-inward';
        const isInward = callee === picked && kind !== 'peers-cut-outward';
        return isOutward || isInward ? CallFault.lost : CallFault.none;
      });
    case 'peer-answers-lost':
      return faultPeers(cell, () => CallFault.answerLost);
    case 'peer-calls-late':
      return faultPeers(cell, () => CallFault.late);
    case 'peers-slow': {
      const before = cell.peers.delayMs;
      let isOver = false;
      cell.peers.delayMs = (...way) => (isOver ? 0 : SLOW_WAY_MS) + before(...way);
      return () => {
        isOver = true;
      };
    }
    case 'owner-paused':
      cell.pause(owner);
      return () => cell.resume(owner);
    case 'owner-suspended':
      cell.suspend(owner);
      return () => cell.resume(owner);
    case 'process-paused':
      cell.pause(picked);
      return () => cell.resume(picked);
    case 'time-of-day-jumps': {
      const byMs = pick % 2 === 0 ? forMs : -forMs;
      cell.jumpWall(owner, byMs);
      return () => {
        cell.jumpWall(owner, -byMs);
      };
    }
  }
}

function killAll(cell: EmulatedCell, victims: readonly string[]): Heal {
  for (const name of victims) cell.kill(name);
  return () => {
    for (const name of victims) void cell.boot(name);
  };
}

/** Adds a fault of the store to those that are there; the first one counts. */
function faultStore(cell: EmulatedCell, own: typeof cell.store.faultFor): Heal {
  const before = cell.store.faultFor;
  let isOver = false;
  cell.store.faultFor = (...call) => {
    const found = isOver ? CallFault.none : own(...call);
    return found === CallFault.none ? before(...call) : found;
  };
  return () => {
    isOver = true;
  };
}

function faultPeers(cell: EmulatedCell, own: typeof cell.peers.faultFor): Heal {
  const before = cell.peers.faultFor;
  let isOver = false;
  cell.peers.faultFor = (...call) => {
    const found = isOver ? CallFault.none : own(...call);
    return found === CallFault.none ? before(...call) : found;
  };
  return () => {
    isOver = true;
  };
}

function cutWorkers(cell: EmulatedCell, own: typeof cell.isCut): Heal {
  const before = cell.isCut;
  let isOver = false;
  cell.isCut = (...way) => (!isOver && own(...way)) || before(...way);
  return () => {
    isOver = true;
  };
}

/** Processes and workers there reach each other, and nothing outside. */
function cutDataCentre(cell: EmulatedCell, dataCentre: string): Heal {
  const isInside = (name: string): boolean => cell.dataCentreOf(name) === dataCentre;
  const heals = [
    faultStore(cell, (caller) => (isInside(caller) ? CallFault.lost : CallFault.none)),
    faultPeers(cell, (caller, callee) =>
      isInside(caller) === isInside(callee) ? CallFault.none : CallFault.lost,
    ),
    cutWorkers(cell, (process, worker) => isInside(process) !== isInside(worker)),
  ];
  const silent = [...cell.workers.values()].filter(({ entry }) => isInside(entry.id));
  const cancel = cell.clock.after(ENTRY_MS, () => {
    for (const { entry } of silent) cell.unpublish(entry.id);
  });
  return () => {
    cancel();
    for (const heal of heals) void heal();
    for (const { entry, isUp } of silent)
      if (isUp && cell.workers.get(entry.id)?.entry === entry) cell.publish(entry);
  };
}
