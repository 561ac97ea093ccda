import type { CommandIo } from '../../command-io.js';
import type { LogLine } from '../../log-lines/log-line.js';
import type { Explanation } from './explanation.js';
import { fieldMeanings } from './field-meanings.js';

const ID_FIELDS = ['level', 'job', 'step', 'task', 'worker'];
const UNQUOTED_VALUE = /^[\w.:/@+-]+$/;

/** Prints an explanation for a person, or as one JSON object. */
export function printExplanation(io: CommandIo, explanation: Explanation, isJson: boolean): void {
  if (isJson) io.print(`${JSON.stringify(toJson(explanation))}\n`);
  else io.print(`${formatLines(explanation).join('\n')}\n`);
}

function formatLines(explanation: Explanation): string[] {
  const { deciding, ownerStart } = explanation;
  const owner =
    ownerStart === undefined
      ? 'no line of the start of an owner before it'
      : `${ownerStart.process} since ${ownerStart.timeText}`;
  const texts = [`lines of ${explanation.id}, the deciding one marked:`];
  if (explanation.leftOutLines > 0) texts.push(`  ${explanation.leftOutLines} older ones left out`);
  for (const line of explanation.lines)
    texts.push(`${line === deciding ? '>' : ' '} ${formatLine(line)}`);
  texts.push(
    `decided by ${deciding.process}: ${deciding.event}`,
    ...listInputs(deciding).map(([name, value]) => {
      const meaning = fieldMeanings[name];
      return `  ${name}=${formatValue(value)}${meaning === undefined ? '' : ` (${meaning})`}`;
    }),
  );
  if (explanation.lastRunEnd !== undefined)
    texts.push(`  after the end of a run: ${formatLine(explanation.lastRunEnd)}`);
  if (explanation.cellTimeSinceEndMs !== undefined)
    texts.push(
      `  ${explanation.cellTimeSinceEndMs} ms of the time of the cell since the job ended`,
    );
  texts.push(
    `owner at that time: ${owner}`,
    'what these processes learned until then and within the next second:',
    ...explanation.beliefs.map((line) => `  ${formatLine(line)}`),
  );
  if (explanation.leftOutBeliefs > 0)
    texts.push(`  ${explanation.leftOutBeliefs} repeated lines left out`);
  if (explanation.unreadableLines > 0)
    texts.push(`${explanation.unreadableLines} lines could not be read`);
  return texts;
}

function formatLine(line: LogLine): string {
  const pairs = [...line.fields]
    .filter(([name]) => name !== 'level')
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return [line.timeText, line.process, `event=${line.event}`, ...pairs].join(' ');
}

function formatValue(value: string): string {
  return UNQUOTED_VALUE.test(value) ? value : JSON.stringify(value);
}

function listInputs(line: LogLine): [string, string][] {
  return [...line.fields].filter(([name]) => !ID_FIELDS.includes(name));
}

function toJson(explanation: Explanation): Record<string, unknown> {
  const { deciding, ownerStart } = explanation;
  return {
    id: explanation.id,
    lines: explanation.lines.map(lineToJson),
    leftOutLines: explanation.leftOutLines,
    deciding: {
      ...lineToJson(deciding),
      inputs: Object.fromEntries(listInputs(deciding)),
      lastRunEnd: explanation.lastRunEnd === undefined ? null : lineToJson(explanation.lastRunEnd),
      cellTimeSinceEndMs: explanation.cellTimeSinceEndMs ?? null,
    },
    owner: ownerStart === undefined ? null : lineToJson(ownerStart),
    beliefs: explanation.beliefs.map(lineToJson),
    leftOutBeliefs: explanation.leftOutBeliefs,
    unreadableLines: explanation.unreadableLines,
  };
}

function lineToJson(line: LogLine): Record<string, unknown> {
  const { timeText, process, event, fields } = line;
  return { time: timeText, process, event, fields: Object.fromEntries(fields) };
}
