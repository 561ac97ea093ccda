/**
 * The failures of tests that KNOWN-RED.txt excuses. An entry is one or more lines `test: <file> :: <name>`, directly
 * followed by a line `excuses: <regular expression>`. The expression must match the whole message of the failure, so
 * that a message with several lines is excused only if all of them are.
 */
export class KnownFailures {
  /** Throws for a listed test without an expression, and for an invalid expression. */
  static parse(text) {
    const patterns = new Map();
    let labels = [];
    for (const line of [...text.split('\n'), '']) {
      if (line.startsWith('test: ')) {
        labels.push(line.slice(6).trim());
        continue;
      }
      if (line.startsWith('excuses: ')) {
        if (labels.length === 0) throw new Error(`no test is listed directly before: ${line}`);
        const pattern = new RegExp(`^(?:${line.slice(9).trim()})$`, 'u');
        for (const label of labels) patterns.set(label, pattern);
      } else if (labels.length > 0)
        throw new Error(
          `KNOWN-RED.txt does not say which message it excuses: ${labels.join(', ')}`,
        );
      labels = [];
    }
    return new KnownFailures(patterns);
  }

  #patterns;

  constructor(patterns) {
    this.#patterns = patterns;
  }

  /** Returns the listed tests. */
  labels() {
    return [...this.#patterns.keys()];
  }

  lists(label) {
    return this.#patterns.has(label);
  }

  /** Returns whether the test is listed with this message of a failure. */
  isExcused(label, message) {
    return this.#patterns.get(label)?.test(message.trim()) === true;
  }
}
