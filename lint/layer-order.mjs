import { layers, sharedPackages, assemblyPackages } from './layers.mjs';

/** Rank of a package: imports may only go to an equal or higher rank. */
export function rankOf(name) {
  if (sharedPackages.includes(name)) return layers.length;
  if (assemblyPackages.includes(name)) return -1;
  return layers.findIndex((layer) => layer.packages.includes(name));
}

/** Reports an import from a package of an outer layer. */
export const layerOrder = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {
      order:
        'Package "{{from}}" must not import "{{to}}": imports go transport, protocol, coordination, state.',
      unknown: 'Package "{{name}}" has no layer; add it to lint/layers.mjs.',
    },
  },
  create(context) {
    const from = /packages[/\\]([^/\\]+)[/\\]/.exec(context.filename)?.[1];
    if (from === undefined) return {};
    const isKnown = (name) => rankOf(name) !== -1 || assemblyPackages.includes(name);
    return {
      ImportDeclaration(node) {
        const to = /^@acaciahoist\/([^/]+)/.exec(node.source.value)?.[1];
        if (to === undefined || to === from) return;
        const missing = [from, to].find((name) => !isKnown(name));
        if (missing !== undefined) {
          context.report({ node, messageId: 'unknown', data: { name: missing } });
          return;
        }
        if (rankOf(to) < rankOf(from))
          context.report({ node, messageId: 'order', data: { from, to } });
      },
    };
  },
};
