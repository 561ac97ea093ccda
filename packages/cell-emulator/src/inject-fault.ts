import { CallFault } from './call-fault.js';
import type { EmulatedCell } from './index.js';
import type { ScheduleFault } from './schedule-fault.js';

type FaultRecovery = () => void | Promise<void>;

/** Time in ms after which the entry of a worker that the store does not hear is removed. */
const ENTRY_REMOVAL_DELAY_MS = 4_500;
/** Additional time in ms of a call between processes, there and again back, on a slow way. */
const SLOW_PEER_DELAY_MS = 300;

/** Brings a fault about; the function returned ends it. */
export function injectFault(
  cell: EmulatedCell,
  { kind, targetIndex: pick, durationMs: forMs }: ScheduleFault,
): FaultRecovery {
  const worker = [...cell.workers.values()][pick % cell.workers.size];
  const owner = cell.findOwnerName() ?? 'p0';
  const picked = cell.processes[pick % cell.processes.length]?.name ?? 'p0';
  switch (kind) {
    case 'kill-owner':
      return killProcesses(cell, [owner]);
    case 'kill-all':
      return killProcesses(
        cell,
        cell.processes.map(({ name }) => name),
      );
    case 'owner-without-power': {
      cell.peers.unpoweredProcesses.add(owner);
      const boot = killProcesses(cell, [owner]);
      return () => {
        cell.peers.unpoweredProcesses.delete(owner);
        return boot();
      };
    }
    case 'store-refuses':
      return injectStoreFault(cell, () => CallFault.refused);
    case 'store-silent':
      return injectStoreFault(cell, () => CallFault.lost);
    case 'store-answers-lost':
      return injectStoreFault(cell, () => CallFault.answerLost);
    case 'store-late':
      return injectStoreFault(cell, (_caller, call) =>
        call === 'append' ? CallFault.late : CallFault.none,
      );
    case 'store-away-from-owner':
      return injectStoreFault(cell, (caller) =>
        caller === owner ? CallFault.lost : CallFault.none,
      );
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
      return disconnectWorkers(cell, (_process, id) => id === worker?.entry.id);
    case 'orders-late':
    case 'answers-lost': {
      const found = kind === 'orders-late' ? CallFault.late : CallFault.answerLost;
      if (worker !== undefined) worker.chooseFault = () => found;
      return () => {
        if (worker !== undefined) worker.chooseFault = () => CallFault.none;
      };
    }
    case 'cancel': {
      const id = [...cell.acceptedJobs][pick];
      if (id !== undefined) void cell.cancel(id, 'p1');
      return () => undefined;
    }
    case 'data-centre-cut':
      return disconnectDataCentre(cell, cell.getDataCentre(picked));
    case 'peers-cut':
    case 'peers-cut-inward':
    case 'peers-cut-outward':
      return injectPeerFault(cell, (caller, callee) => {
        const isOutward = caller === picked && kind !== 'peers-cut-inward';
        const isInward = callee === picked && kind !== 'peers-cut-outward';
        return isOutward || isInward ? CallFault.lost : CallFault.none;
      });
    case 'peer-answers-lost':
      return injectPeerFault(cell, () => CallFault.answerLost);
    case 'peer-calls-late':
      return injectPeerFault(cell, () => CallFault.late);
    case 'peers-slow': {
      const before = cell.peers.getExtraDelayMs;
      let isOver = false;
      cell.peers.getExtraDelayMs = (...way) => (isOver ? 0 : SLOW_PEER_DELAY_MS) + before(...way);
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

function killProcesses(cell: EmulatedCell, victims: readonly string[]): FaultRecovery {
  for (const name of victims) cell.killProcess(name);
  return () => {
    for (const name of victims) void cell.startProcess(name);
  };
}

/** Adds a fault of the store to those that are there; the first one counts. */
function injectStoreFault(
  cell: EmulatedCell,
  chooseFault: typeof cell.store.chooseFault,
): FaultRecovery {
  const chooseEarlierFault = cell.store.chooseFault;
  let isEnded = false;
  cell.store.chooseFault = (...call) => {
    const fault = isEnded ? CallFault.none : chooseFault(...call);
    return fault === CallFault.none ? chooseEarlierFault(...call) : fault;
  };
  return () => {
    isEnded = true;
  };
}

function injectPeerFault(
  cell: EmulatedCell,
  chooseFault: typeof cell.peers.chooseFault,
): FaultRecovery {
  const chooseEarlierFault = cell.peers.chooseFault;
  let isEnded = false;
  cell.peers.chooseFault = (...call) => {
    const fault = isEnded ? CallFault.none : chooseFault(...call);
    return fault === CallFault.none ? chooseEarlierFault(...call) : fault;
  };
  return () => {
    isEnded = true;
  };
}

function disconnectWorkers(
  cell: EmulatedCell,
  isDisconnected: typeof cell.isDisconnected,
): FaultRecovery {
  const isDisconnectedEarlier = cell.isDisconnected;
  let isEnded = false;
  cell.isDisconnected = (...connection) =>
    (!isEnded && isDisconnected(...connection)) || isDisconnectedEarlier(...connection);
  return () => {
    isEnded = true;
  };
}

/** Processes and workers there reach each other, and nothing outside. */
function disconnectDataCentre(cell: EmulatedCell, dataCentre: string): FaultRecovery {
  const isInside = (name: string): boolean => cell.getDataCentre(name) === dataCentre;
  const recoveries = [
    injectStoreFault(cell, (caller) => (isInside(caller) ? CallFault.lost : CallFault.none)),
    injectPeerFault(cell, (caller, callee) =>
      isInside(caller) === isInside(callee) ? CallFault.none : CallFault.lost,
    ),
    disconnectWorkers(cell, (process, worker) => isInside(process) !== isInside(worker)),
  ];
  const unreachable = [...cell.workers.values()].filter(({ entry }) => isInside(entry.id));
  const cancel = cell.clock.after(ENTRY_REMOVAL_DELAY_MS, () => {
    for (const { entry } of unreachable) cell.removeWorkerEntry(entry.id);
  });
  return () => {
    cancel();
    for (const heal of recoveries) void heal();
    for (const { entry, isUp } of unreachable)
      if (isUp && cell.workers.get(entry.id)?.entry === entry) cell.publishWorker(entry);
  };
}
