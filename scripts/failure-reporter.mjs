/** Test reporter: one JSON line per finished leaf test with file, name, result and the message of a failure. */
export default async function* failureReporter(source) {
  for await (const event of source) {
    if (event.type !== 'test:pass' && event.type !== 'test:fail') continue;
    if (event.data.details?.type === 'suite') continue;
    const { name, file, skip, todo, details } = event.data;
    const message = details?.error?.message;
    yield `${JSON.stringify({ result: event.type, name, file, skip, todo, message })}\n`;
  }
}
