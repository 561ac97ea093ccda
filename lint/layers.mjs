/** Layers from the outermost to the innermost; a package may import its own layer and those after it. */
export const layers = [
  { name: 'transport', packages: ['http-client', 'http-server', 'peer-socket'] },
  { name: 'protocol', packages: ['peer-protocol', 'caller-protocol', 'cell-front'] },
  {
    name: 'coordination',
    packages: [
      'group-commit',
      'ownership',
      'membership',
      'slot-pool',
      'request-router',
      'partition-owner',
      'cell-log',
      'cell-owner',
    ],
  },
  {
    name: 'state',
    packages: [
      'declaration',
      'lifecycles',
      'placement',
      'journal',
      'configuration',
      'account',
      'history-checker',
      'cell-state',
      'cell-planner',
    ],
  },
];

/** Packages that every package may import. */
export const sharedPackages = ['clock', 'errors', 'types', 'cell-types', 'random'];

/** Packages that assemble processes and may import every package. */
export const assemblyPackages = [
  'entry',
  'cell-process',
  'cell-emulator',
  'stand-in',
  'bench',
  'cli',
];
