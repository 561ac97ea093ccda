import { quote } from './quote.js';
import type { Tree } from './tree.js';

/**
 * Formats the path of a value from the root, such as `users[0].teams[1].name`. `furtherSteps` lead from the
 * value to a part of it that may be absent.
 */
export function formatPath(tree: Tree, ...furtherSteps: readonly (string | number)[]): string {
  const steps: (string | number)[] = [...furtherSteps].reverse();
  for (let current: Tree | undefined = tree; current !== undefined; current = current.parent) {
    if (current.step !== undefined) steps.push(current.step);
  }
  return steps.reverse().map(formatStep).join('').replace(/^\./, '');
}

function formatStep(step: string | number): string {
  if (typeof step === 'number') return `[${step}]`;
  return /^[A-Za-z][A-Za-z0-9-]{0,63}$/.test(step) ? `.${step}` : `[${quote(step)}]`;
}
