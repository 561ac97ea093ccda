import { CallFault } from './call-fault.js';
import type { EmulatedCell } from './emulated-cell.js';
import type { ScheduleFault } from './schedule-fault.js';

/** Ends an injected fault. */
type EndFault = () => void | Promise<void>;

/** Delay in ms after which the entry of a worker that cannot reach the store is removed. */
const ENTRY_REMOVAL_DELAY_MS = 4_500;
/** Additional delay in ms of a call between processes on a slow connection, in each direction. */
const SLOW_PEER_DELAY_MS = 300;

/** Injects a fault into the cell and returns the function that ends it. */
export function injectFault(
  cell: EmulatedCell,
  { kind, targetIndex, durationMs }: ScheduleFault,
): EndFault {
  const worker = [...cell.workers.values()][targetIndex % cell.workers.size];
  const owner = cell.findOwnerName() ?? 'p0';
  const pickedProcess = cell.processes[targetIndex % cell.processes.length]?.name ?? 'p0';
  switch (kind) {
    case 'kill-owner':
      return killProcesses(cell, [owner]);
    case 'kill-all':
      return killProcesses(
        cell,
        cell.processes.map(({ name }) => name),
      );
    case 'owner-powered-off': {
      cell.peers.unpoweredProcesses.add(owner);
      const restart = killProcesses(cell, [owner]);
      return () => {
        cell.peers.unpoweredProcesses.delete(owner);
        return restart();
      };
    }
    case 'store-refuses':
      return injectStoreFault(cell, () => CallFault.refused);
    case 'store-silent':
      return injectStoreFault(cell, () => CallFault.lost);
    case 'store-replies-lost':
      return injectStoreFault(cell, () => CallFault.replyLost);
    case 'store-late':
      return injectStoreFault(cell, (_caller, call) =>
        call === 'append' ? CallFault.late : CallFault.none,
      );
    case 'store-unreachable-from-owner':
      return injectStoreFault(cell, (caller) =>
        caller === owner ? CallFault.lost : CallFault.none,
      );
    case 'worker-crash':
      worker?.crash();
      return () => {
        if (worker !== undefined) cell.addWorker(worker.entry.id);
      };
    case 'worker-replaced':
      worker?.crash();
      return () => {
        cell.addWorker(`w${cell.workers.size}`, undefined, worker?.entry);
      };
    case 'worker-unreachable':
      return disconnectWorkers(cell, (_process, id) => id === worker?.entry.id);
    case 'worker-calls-late':
    case 'worker-replies-lost': {
      const fault = kind === 'worker-calls-late' ? CallFault.late : CallFault.replyLost;
      if (worker !== undefined) worker.chooseFault = () => fault;
      return () => {
        if (worker !== undefined) worker.chooseFault = () => CallFault.none;
      };
    }
    case 'cancel': {
      // The submission of one of the newest jobs may still be on its way.
      const ids = [...cell.jobs.keys()];
      const id = targetIndex % 2 === 0 ? ids.at(-1 - targetIndex) : ids[targetIndex];
      if (id !== undefined) void cell.cancel(id, 'p1');
      return () => undefined;
    }
    case 'data-centre-unreachable':
      return disconnectDataCentre(cell, cell.getDataCentre(pickedProcess));
    case 'peer-calls-lost':
    case 'peer-calls-lost-inward':
    case 'peer-calls-lost-outward':
      return injectPeerFault(cell, (caller, callee) => {
        const isOutward = caller === pickedProcess && kind !== 'peer-calls-lost-inward';
        const isInward = callee === pickedProcess && kind !== 'peer-calls-lost-outward';
        return isOutward || isInward ? CallFault.lost : CallFault.none;
      });
    case 'peer-replies-lost':
      return injectPeerFault(cell, () => CallFault.replyLost);
    case 'peer-calls-late':
      return injectPeerFault(cell, () => CallFault.late);
    case 'peer-calls-slow': {
      const getEarlierDelayMs = cell.peers.getExtraDelayMs;
      let isEnded = false;
      cell.peers.getExtraDelayMs = (...call) =>
        (isEnded ? 0 : SLOW_PEER_DELAY_MS) + getEarlierDelayMs(...call);
      return () => {
        isEnded = true;
      };
    }
    case 'owner-paused':
      cell.pause(owner);
      return () => cell.resume(owner);
    case 'owner-suspended':
      cell.suspend(owner);
      return () => cell.resume(owner);
    case 'process-paused':
      cell.pause(pickedProcess);
      return () => cell.resume(pickedProcess);
    case 'owner-wall-clock-jumps': {
      const byMs = targetIndex % 2 === 0 ? durationMs : -durationMs;
      cell.jumpWall(owner, byMs);
      return () => {
        cell.jumpWall(owner, -byMs);
      };
    }
  }
}

/** Kills processes; the end of the fault starts a new incarnation of each. */
function killProcesses(cell: EmulatedCell, names: readonly string[]): EndFault {
  for (const name of names) cell.killProcess(name);
  return () => {
    for (const name of names) void cell.startProcess(name);
  };
}

/** Adds a store fault to the faults in force; a call that it affects ignores the earlier ones. */
function injectStoreFault(
  cell: EmulatedCell,
  chooseFault: typeof cell.store.chooseFault,
): EndFault {
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

/** Adds a fault of calls between processes to the faults in force, as `injectStoreFault` does. */
function injectPeerFault(cell: EmulatedCell, chooseFault: typeof cell.peers.chooseFault): EndFault {
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

/** Loses the calls between the processes and workers for which `isDisconnected` returns true. */
function disconnectWorkers(
  cell: EmulatedCell,
  isDisconnected: typeof cell.isDisconnected,
): EndFault {
  const isDisconnectedEarlier = cell.isDisconnected;
  let isEnded = false;
  cell.isDisconnected = (...connection) =>
    (!isEnded && isDisconnected(...connection)) || isDisconnectedEarlier(...connection);
  return () => {
    isEnded = true;
  };
}

/** Loses all calls between the data centre and everything outside it, including the store. */
function disconnectDataCentre(cell: EmulatedCell, dataCentre: string): EndFault {
  const isInside = (name: string): boolean => cell.getDataCentre(name) === dataCentre;
  const endFaults = [
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
    for (const endFault of endFaults) void endFault();
    for (const { entry, isUp } of unreachable)
      if (isUp && cell.workers.get(entry.id)?.entry === entry) cell.publishWorker(entry);
  };
}
