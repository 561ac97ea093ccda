// Stand-in of the platform's store: a log over HTTP with the calls /log-append, /log-read and /log-newest.
import { createServer } from 'node:http';

const RESPONSE_MS = 4;
const MAX_PAGE_BYTES = 1_048_576;
const MAX_ITEMS = 500;
const REMEMBERED_APPENDS = 5;

class Partition {
  records = [];
  first = 0;
  producers = new Map();
  newest = new Map();
  waiters = new Set();

  get end() {
    return this.first + this.records.length;
  }
}

/** Keeps topics of one partition each in memory. Records expire after `keepMs`. */
export class Store {
  constructor({ host, keepMs = 20_000 }) {
    this.host = host;
    this.keepMs = keepMs;
    this.partitions = new Map();
    /** Called for each call; returns `undefined` to serve it, or a status with which to refuse it. */
    this.filter = () => undefined;
    this.server = createServer((request, response) => void this.serve(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, this.host, resolve));
    this.address = `${this.host}:${this.server.address().port}`;
    this.expiry = setInterval(() => this.expire(), 500);
  }

  stop() {
    clearInterval(this.expiry);
    this.server.closeAllConnections();
    this.server.close();
  }

  partition(topic) {
    let partition = this.partitions.get(topic);
    if (partition === undefined) this.partitions.set(topic, (partition = new Partition()));
    return partition;
  }

  expire() {
    const before = Date.now() - this.keepMs;
    for (const partition of this.partitions.values())
      while (partition.records.length > 0 && partition.records[0].atMs < before) {
        partition.records.shift();
        partition.first += 1;
      }
  }

  /** Appends the value of a key, as the operator and the workers do. An undefined value drops the key. */
  put(topic, key, value) {
    const name = Buffer.from(key);
    const content = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.append(topic, [Buffer.concat([Buffer.from([name.length]), name, content])]);
  }

  append(topic, records) {
    const partition = this.partition(topic);
    const offset = partition.end;
    for (const [index, data] of records.entries()) {
      partition.records.push({ data, atMs: Date.now() });
      if (!topic.startsWith('keyed.')) continue;
      const length = data[0];
      const key = data.subarray(1, 1 + length).toString('utf8');
      const value = data.subarray(1 + length);
      if (value.length === 0) partition.newest.delete(key);
      else partition.newest.set(key, { value, offset: offset + index });
    }
    for (const wake of partition.waiters) wake();
    return { offset, end: partition.end };
  }

  async serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const url = new URL(request.url, 'http://store');
    const refusal = this.filter(request, url);
    const answer = (status, body) =>
      setTimeout(() => {
        const isBinary = Buffer.isBuffer(body);
        const data = isBinary ? body : Buffer.from(JSON.stringify(body));
        response.writeHead(status, {
          'content-type': isBinary ? 'application/octet-stream' : 'application/json',
          'content-length': data.length,
        });
        response.end(data);
      }, RESPONSE_MS);
    if (refusal !== undefined) return answer(refusal, {});
    const topic = url.searchParams.get('topic') ?? '';
    if (url.pathname === '/log-append')
      return this.serveAppend(topic, url.searchParams, Buffer.concat(chunks), answer);
    if (url.pathname === '/log-read') return this.serveRead(topic, url.searchParams, answer);
    if (url.pathname === '/log-newest') return this.serveNewest(topic, url.searchParams, answer);
    return answer(404, {});
  }

  serveAppend(topic, query, body, answer) {
    const partition = this.partition(topic);
    const records = [];
    for (let position = 0; position < body.length;) {
      const length = body.readUInt32BE(position);
      records.push(Buffer.from(body.subarray(position + 4, position + 4 + length)));
      position += 4 + length;
    }
    const name = query.get('producer');
    if (name === null) return answer(200, this.append(topic, records));
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('sequence'));
    const producer = partition.producers.get(name) ?? { epoch: -1, last: -1, recent: [] };
    if (epoch < producer.epoch) return answer(409, { reason: 'fenced' });
    if (epoch === producer.epoch) {
      const repeated = producer.recent.find((append) => append.sequence === sequence);
      if (repeated !== undefined) return answer(200, repeated.result);
      if (sequence !== producer.last + 1)
        return answer(409, { reason: 'seq', sequence: producer.last + 1 });
    }
    const recent = epoch === producer.epoch ? producer.recent : [];
    const result = this.append(topic, records);
    recent.push({ sequence, result });
    if (recent.length > REMEMBERED_APPENDS) recent.shift();
    partition.producers.set(name, { epoch, last: sequence, recent });
    return answer(200, result);
  }

  async serveRead(topic, query, answer) {
    const partition = this.partition(topic);
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (from >= partition.first && from >= partition.end && waitMs > 0)
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        const wake = () => {
          clearTimeout(timer);
          partition.waiters.delete(wake);
          resolve();
        };
        partition.waiters.add(wake);
        setTimeout(() => partition.waiters.delete(wake), waitMs);
      });
    if (from < partition.first) return answer(410, { first: partition.first });
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.end), 0);
    head.writeBigUInt64BE(BigInt(partition.first), 8);
    const parts = [head];
    let bytes = 0;
    for (const { data } of partition.records.slice(Math.max(0, from - partition.first))) {
      bytes += data.length + 4;
      if (parts.length > 1 && bytes > MAX_PAGE_BYTES) break;
      const length = Buffer.alloc(4);
      length.writeUInt32BE(data.length);
      parts.push(length, data);
    }
    return answer(200, Buffer.concat(parts));
  }

  serveNewest(topic, query, answer) {
    const partition = this.partition(topic);
    const after = query.get('after');
    const keys = [...partition.newest.keys()].sort().filter((key) => after === null || key > after);
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const { value, offset } = partition.newest.get(key);
      bytes += value.length;
      if (items.length === MAX_ITEMS || (items.length > 0 && bytes > MAX_PAGE_BYTES)) break;
      items.push({ key, value: value.toString('base64'), offset });
    }
    answer(200, { items, hasMore: items.length < keys.length, end: partition.end });
  }
}
