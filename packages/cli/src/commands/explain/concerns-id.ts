import type { LogLine } from '../../log-lines/log-line.js';

const ID_FIELDS = ['job', 'step', 'task', 'worker'] as const;
/** Characters of ids. A text field such as `message` names an id as a word. */
const WORD = /[\w.:-]*\w/g;

/**
 * Returns true if the line names the id, a part of it (a step or task of the job) or what it is part of (the
 * job of the task).
 */
export function concernsId(line: LogLine, id: string): boolean {
  if (ID_FIELDS.some((name) => isRelated(line.fields.get(name), id))) return true;
  const message = line.fields.get('message');
  return message?.match(WORD)?.some((word) => isRelated(word, id)) ?? false;
}

function isRelated(name: string | undefined, id: string): boolean {
  if (name === undefined || name === '') return false;
  return name === id || name.startsWith(`${id}.`) || id.startsWith(`${name}.`);
}
