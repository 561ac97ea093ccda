import { createServer } from 'node:http';

const HEADER_BYTES = 16;
const RETAINED_APPENDS = 5;
const NEWEST_PAGE_SIZE = 500;

/** Stand-in of the platform's store: a log with topics of one partition, kept in memory. */
export class LogStore {
  #topics = new Map();
  #servers = [];

  /** Receives each answered append: `{ atMs, topic, records }`. */
  onAppend = () => undefined;
  /**
   * Chooses how to treat a call that arrived at the address `host`: undefined to execute and answer it,
   * `{ status }` to answer without executing it, `{ lateMs }` to execute it later and not to answer,
   * `{ isSilent: true }` to do neither, and `{ isReset: true }` to reset its connection.
   */
  intercept = () => undefined;

  /** Listens at a further address; processes with an address of their own can be treated differently. */
  async listen(host) {
    const server = createServer((request, response) => void this.#answer(request, response, host));
    this.#servers.push(server);
    await new Promise((resolve) => server.listen(0, host, resolve));
    return `${host}:${server.address().port}`;
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  /** Writes a key as the operator or a runner does; `value` is an object, or undefined to remove the key. */
  writeKey(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.#append(topic, [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes])]);
  }

  #topic(name) {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = { records: [], producers: new Map(), newest: new Map(), waiters: new Set() };
      this.#topics.set(name, topic);
    }
    return topic;
  }

  #append(name, records) {
    const topic = this.#topic(name);
    const offset = topic.records.length;
    topic.records.push(...records);
    if (name.startsWith('keyed.'))
      for (const [index, record] of records.entries()) {
        const key = record.subarray(1, 1 + record[0]).toString();
        const value = record.subarray(1 + record[0]);
        if (value.length === 0) topic.newest.delete(key);
        else topic.newest.set(key, { key, value, offset: offset + index });
      }
    for (const wake of [...topic.waiters]) wake();
    this.onAppend({ atMs: Date.now(), topic: name, records });
    return { offset, end: topic.records.length };
  }

  async #answer(request, response, host) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, 'http://store');
    const treatment = this.intercept({ host, method: request.method, path: url.pathname });
    if (treatment?.isSilent) return;
    if (treatment?.isReset) {
      request.socket.resetAndDestroy();
      return;
    }
    if (treatment?.status !== undefined) {
      sendJson(response, treatment.status, {});
      return;
    }
    if (treatment?.lateMs !== undefined) {
      await new Promise((resolve) => setTimeout(resolve, treatment.lateMs));
      // Executes the call; nobody receives the answer.
      response = { writeHead: () => undefined, end: () => undefined };
    }
    const topicName = url.searchParams.get('topic') ?? '';
    if (request.method === 'POST' && url.pathname === '/log-append')
      this.#answerAppend(response, url, topicName, Buffer.concat(chunks));
    else if (request.method === 'GET' && url.pathname === '/log-read')
      await this.#answerRead(response, url, topicName);
    else if (request.method === 'GET' && url.pathname === '/log-newest')
      this.#answerNewest(response, url, topicName);
    else sendJson(response, 404, {});
  }

  #answerAppend(response, url, name, body) {
    const topic = this.#topic(name);
    const at = url.searchParams.get('at');
    const producerName = url.searchParams.get('producer');
    const epoch = Number(url.searchParams.get('epoch'));
    const sequence = Number(url.searchParams.get('sequence'));
    const producer = producerName === null ? undefined : topic.producers.get(producerName);
    if (producer !== undefined) {
      if (epoch < producer.epoch) return sendJson(response, 409, { reason: 'fenced' });
      if (epoch === producer.epoch) {
        const earlier = producer.results.get(sequence);
        if (earlier !== undefined) return sendJson(response, 200, earlier);
        if (sequence !== producer.sequence + 1)
          return sendJson(response, 409, { reason: 'seq', sequence: producer.sequence + 1 });
      }
    }
    if (at !== null && Number(at) !== topic.records.length)
      return sendJson(response, 412, { end: topic.records.length });
    const records = [];
    for (let position = 0; position < body.length;) {
      const length = body.readUInt32BE(position);
      records.push(body.subarray(position + 4, position + 4 + length));
      position += 4 + length;
    }
    const result = this.#append(name, records);
    if (producerName !== null) {
      const results = producer?.epoch === epoch ? producer.results : new Map();
      results.set(sequence, result);
      results.delete(sequence - RETAINED_APPENDS);
      topic.producers.set(producerName, { epoch, sequence, results });
    }
    return sendJson(response, 200, result);
  }

  async #answerRead(response, url, name) {
    const topic = this.#topic(name);
    const from = Number(url.searchParams.get('from'));
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    const maxBytes = Number(url.searchParams.get('maxKb') ?? 1_024) * 1_024;
    if (topic.records.length <= from && waitMs > 0)
      await new Promise((resolve) => {
        const wake = () => {
          topic.waiters.delete(wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        topic.waiters.add(wake);
      });
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const parts = [header];
    let bytes = 0;
    for (const record of topic.records.slice(from)) {
      if (bytes > 0 && bytes + record.length > maxBytes) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      parts.push(length, record);
      bytes += record.length;
    }
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.end(Buffer.concat(parts));
  }

  #answerNewest(response, url, name) {
    const topic = this.#topic(name);
    const after = url.searchParams.get('after');
    const items = [...topic.newest.values()]
      .filter(({ key }) => after === null || key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    sendJson(response, 200, {
      items: items
        .slice(0, NEWEST_PAGE_SIZE)
        .map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset })),
      hasMore: items.length > NEWEST_PAGE_SIZE,
      end: topic.records.length,
    });
  }
}

function sendJson(response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
