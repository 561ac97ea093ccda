// Stand-in of a runner: carries out tasks under leases, as the platform's protocol describes.
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer } from 'node:net';

const MAX_LISTED_ENDS = 500;
const STOP_MS = 100;
const SAVE_MS = 500;
const STARTUP_MS = 500;

/** One life of a runner. Its clock and the numbers of its ends begin anew. */
class Life {
  constructor(worker) {
    this.worker = worker;
    this.born = Date.now();
    this.startedAt = performance.now();
    this.fence = 0;
    this.deadlineMs = 0;
    this.running = new Map();
    this.finished = [];
    this.endCount = 0;
    this.barred = new Map();
    this.waiters = new Set();
    this.isOver = false;
    this.leaseTimer = setInterval(() => this.checkLease(), 20);
    this.server = createHttpServer((request, response) => void this.serve(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  clockMs() {
    return Math.round(performance.now() - this.startedAt);
  }

  checkLease() {
    if (this.running.size > 0 && this.clockMs() >= this.deadlineMs)
      for (const run of [...this.running.values()]) this.end(run, 'lapsed');
  }

  extend(deadlineMs) {
    if (!Number.isFinite(deadlineMs)) return;
    const longest = this.clockMs() + this.worker.maxHoldMs;
    this.deadlineMs = Math.max(this.deadlineMs, Math.min(deadlineMs, longest));
  }

  end(run, how) {
    if (this.running.get(run.task) !== run) return;
    clearTimeout(run.timer);
    this.running.delete(run.task);
    this.barred.set(run.task, Math.max(this.barred.get(run.task) ?? 0, run.run));
    this.endCount += 1;
    const saved = run.saves ? this.savedOf(run) : '';
    this.finished.push([this.endCount, run.task, run.run, how, saved]);
    this.worker.note(`end ${run.task} run=${run.run} how=${how}`);
    this.worker.onEnd?.(run, how);
    for (const wake of this.waiters) wake();
  }

  savedOf(run) {
    const workedMs = run.resumedMs + (performance.now() - run.startedAt);
    const savedMs = Math.floor(workedMs / SAVE_MS) * SAVE_MS;
    return savedMs === 0 ? '' : String(savedMs);
  }

  percentOf(run) {
    const workedMs = run.resumedMs + performance.now() - run.startedAt;
    // A task that lasts is at work after its startup.
    if (run.lasts) return workedMs < STARTUP_MS ? 0 : 100;
    return Math.min(99, Math.floor((workedMs * 100) / run.workMs));
  }

  async serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (this.isOver) return;
    const body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
    const answer = (status, fields = {}) => {
      if (this.isOver) return;
      const data = Buffer.from(JSON.stringify({ clockMs: this.clockMs(), ...fields }));
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': data.length,
        'acaciahoist-instance-id': this.worker.id,
      });
      response.end(data);
    };
    const expected = request.headers['acaciahoist-expect-instance'];
    if (expected !== undefined && expected !== this.worker.id) return answer(421);
    const token = body.fenceToken ?? 0;
    if (token < this.fence) return answer(409, { reason: 'fence' });
    this.fence = token;
    if (request.url === '/run-start') return this.start(body, answer);
    if (request.url === '/run-stop') return this.stop(body, answer);
    if (request.url === '/hold') return this.hold(body, answer);
    if (request.url === '/pace') return answer(200);
    return answer(404);
  }

  start({ task, run, spec, deadlineMs, checkpoint }, answer) {
    const current = this.running.get(task);
    if (current?.run === run) {
      this.extend(deadlineMs);
      return answer(200);
    }
    if (deadlineMs <= this.clockMs()) return answer(409, { reason: 'late' });
    this.extend(deadlineMs);
    if (run <= (this.barred.get(task) ?? 0) || (current !== undefined && run < current.run))
      return answer(409, { reason: 'old' });
    const terms = JSON.parse(spec);
    const resumedMs = Number(checkpoint ?? 0);
    const started = {
      task,
      run,
      startedAt: performance.now(),
      resumedMs,
      saves: terms.saves === true,
      workMs: terms.workMs,
      lasts: terms.lasts === true,
    };
    const index = Number(task.split('.').at(-1));
    const fails = run === 1 && (terms.failsFirst ?? []).includes(index);
    if (!started.lasts)
      started.timer = setTimeout(
        () => this.end(started, fails ? 'failed' : 'done'),
        fails ? terms.workMs / 2 : terms.workMs - resumedMs,
      );
    this.running.set(task, started);
    this.worker.note(`start ${task} run=${run} checkpoint=${checkpoint ?? ''}`);
    this.worker.onStart?.(started);
    return answer(200);
  }

  stop({ task, run }, answer) {
    const current = this.running.get(task);
    if (current?.run === run) setTimeout(() => this.end(current, 'stopped'), STOP_MS);
    else this.barred.set(task, Math.max(this.barred.get(task) ?? 0, run));
    return answer(200);
  }

  async hold({ ackedSeq = 0, deadlineMs, waitMs = 0 }, answer) {
    this.extend(deadlineMs);
    this.finished = this.finished.filter(([number]) => number > ackedSeq);
    if (this.finished.length === 0 && waitMs > 0)
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        this.waiters.add(wake);
      });
    const running = [...this.running.values()].map((run) => [
      run.task,
      run.run,
      run.saves ? this.savedOf(run) : '',
      this.percentOf(run),
      0,
    ]);
    answer(200, { born: this.born, running, finished: this.finished.slice(0, MAX_LISTED_ENDS) });
  }

  /** Ends the life as a loss of power does: all that runs is gone, and nothing more is answered. */
  lose() {
    this.isOver = true;
    clearInterval(this.leaseTimer);
    for (const run of this.running.values()) clearTimeout(run.timer);
    const lost = [...this.running.values()];
    this.running.clear();
    this.server.closeAllConnections();
    this.server.close();
    return lost;
  }
}

/** A runner behind its address. Callers keep their connections when it loses power, without a reset. */
export class Worker {
  constructor(terms) {
    const defaults = { kind: 'a', cpu: 32_000, maxHoldMs: 10_000 };
    Object.assign(this, defaults, terms);
    this.sockets = new Set();
    this.sequence = 0;
    this.front = createServer((socket) => this.accept(socket));
  }

  note(text) {
    this.record(`${this.id} ${text}`);
  }

  async start() {
    await new Promise((resolve) => this.front.listen(0, this.host, resolve));
    this.address = `${this.host}:${this.front.address().port}`;
    await this.begin();
  }

  async begin() {
    const life = new Life(this);
    await new Promise((resolve) => life.server.listen(0, this.host, resolve));
    this.life = life;
    this.note(`life begins born=${life.born}`);
    this.publish();
  }

  publish() {
    this.sequence += 1;
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity: { cpu: this.cpu, memMb: 65_536 },
      labels: [this.kind, this.rack],
      born: this.life.born,
      clockMs: this.life.clockMs(),
      sequence: this.sequence,
    });
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    if (this.life === undefined) {
      socket.pause();
      return;
    }
    const { port } = this.life.server.address();
    const inner = connect(port, this.host);
    inner.on('error', () => undefined);
    socket.inner = inner;
    socket.pipe(inner);
    inner.pipe(socket, { end: false });
    inner.on('close', () => {
      if (socket.inner === inner) socket.destroy();
    });
    socket.on('close', () => inner.destroy());
  }

  /** Loses power: open connections stay silent, and so do new ones. Returns the runs that are gone. */
  losePower() {
    const { life } = this;
    this.life = undefined;
    for (const socket of this.sockets) {
      const { inner } = socket;
      socket.inner = undefined;
      socket.unpipe();
      inner?.unpipe();
      inner?.destroy();
      socket.pause();
    }
    this.note('loses power');
    return life.lose();
  }

  /** Starts again under the same id. What arrives on a connection from before is answered with a reset. */
  async powerOn() {
    for (const socket of this.sockets) {
      socket.on('data', () => socket.resetAndDestroy());
      socket.resume();
    }
    await this.begin();
  }

  stop() {
    this.life?.lose();
    for (const socket of this.sockets) socket.destroy();
    this.front.close();
  }
}
