import { createServer } from 'node:http';

const TICK_MS = 20;
const HEARTBEAT_MS = 1_500;
/** Time after its start at which a task that lasts is at work. */
const STARTUP_MS = 300;
/** Time over which the tail of a serving task is reported. */
const TAIL_WINDOW_MS = 500;

/**
 * Stand-in of a runner. `spec` of a job is a JSON text with the list `steps`; each has `ms` (the work of a task) and
 * optionally `gang`, `count`, `checkpointing`, `longRunning` and `failures` (how many runs of a task fail at half of
 * the work). A serving task has `tailMs`, its tail latency without any other task beside it, and a task that fills has
 * `disturbMs`, by which it raises the tails on its runner while it works at its full share.
 */
export class Runner {
  /** Members of gangs that are present, by step and run; shared by all runners. */
  static #gangs = new Map();

  #server;
  #born = 0;
  #steadyStartMs = 0;
  #token = 0;
  #leaseUntilMs = 0;
  #running = new Map();
  #finished = [];
  #lastNumber = 0;
  /** Highest run of a task that was stopped or ended here. */
  #highestEnded = new Map();
  #waiters = new Set();
  #timers = [];
  #sequence = 0;
  #sockets = new Set();
  #isDark = false;
  #lastTickAtMs = 0;
  /** Removes the entry after three heartbeat intervals of silence. */
  #removal;

  constructor({ id, host, store, service, record, bounds, labels, capacity, zone }) {
    Object.assign(this, { id, host, store, service, record, bounds, labels, capacity, zone });
    this.state = 'ready';
    /** Receives each beginning and each end of a run, and each end that is taken note of. */
    this.onEvent = () => undefined;
    /** Returns how to treat an order: undefined, or `{ status, body }` to answer instead. */
    this.intercept = () => undefined;
    /** Returns after how many ms to carry an order out without an answer; undefined to answer it at once. */
    this.chooseDelayMs = () => undefined;
  }

  async start() {
    clearTimeout(this.#removal);
    this.#born = Date.now();
    this.#lastTickAtMs = performance.now();
    this.#steadyStartMs = performance.now() - 1_000 * (100 + Math.floor(Math.random() * 900));
    this.#token = 0;
    this.#leaseUntilMs = 0;
    this.#running.clear();
    this.#finished = [];
    this.#lastNumber = 0;
    this.#highestEnded.clear();
    this.#isDark = false;
    this.#server = createServer((request, response) => void this.#answer(request, response));
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(this.port ?? 0, this.host, resolve));
    this.port = this.#server.address().port;
    this.address = `${this.host}:${this.port}`;
    this.publish();
    this.#timers = [
      setInterval(() => this.#tick(), TICK_MS),
      setInterval(() => this.publish(), HEARTBEAT_MS),
    ];
  }

  publish() {
    this.#sequence += 1;
    this.store.writeKey('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      clockMs: this.#clockMs(),
      born: this.#born,
      sequence: this.#sequence,
    });
  }

  /** Loses power: runs and connections are gone, and nothing answers at the address any more. */
  powerOff() {
    this.record('runner-lost', { runner: this.id, runs: this.listRuns() });
    this.#dropRuns('lost');
    for (const timer of this.#timers) clearInterval(timer);
    this.#isDark = true;
    this.#removal = setTimeout(
      () => this.store.writeKey('keyed.servers', this.id, undefined),
      3 * HEARTBEAT_MS,
    );
    // The peers see no reset, as after a loss of power: open connections and new ones stay silent.
  }

  /** The process ends: connections are reset, and the port is closed. */
  async crash() {
    this.record('runner-crashed', { runner: this.id, runs: this.listRuns() });
    this.#dropRuns('lost');
    for (const timer of this.#timers) clearInterval(timer);
    for (const socket of this.#sockets) socket.resetAndDestroy();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  stop() {
    clearTimeout(this.#removal);
    for (const timer of this.#timers) clearInterval(timer);
    for (const wake of [...this.#waiters]) wake();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  listRuns() {
    return [...this.#running.values()].map(({ task, run }) => `${task}/${run}`);
  }

  /** Makes a run fail now, as a task may at any time. */
  fail(task) {
    const entry = this.#running.get(task);
    if (entry !== undefined) this.#end(entry, 'failed');
  }

  #clockMs() {
    return Math.floor(performance.now() - this.#steadyStartMs);
  }

  #dropRuns(how) {
    for (const entry of this.#running.values()) {
      this.onEvent({ kind: 'end', runner: this.id, task: entry.task, run: entry.run, how });
      this.#leaveGang(entry);
    }
    this.#running.clear();
  }

  async #answer(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.#isDark) return;
    const expected = request.headers['acaciahoist-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      send(response, 421, {});
      return;
    }
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
    const intercepted = await this.intercept({ path: request.url, body });
    if (intercepted !== undefined) {
      if (intercepted.status !== 0) send(response, intercepted.status, intercepted.body ?? {});
      return;
    }
    if (request.url === '/healthz') return send(response, 200, {});
    const lateMs = this.chooseDelayMs({ path: request.url, body });
    if (lateMs === undefined) {
      this.#execute(request.url, body, response);
      return;
    }
    // The order is carried out late, by this incarnation only, and its answer is lost.
    const born = this.#born;
    setTimeout(() => {
      if (this.#born !== born || this.#isDark) return;
      this.record('order-late', { runner: this.id, path: request.url, lateMs, ...body });
      this.#execute(request.url, body, undefined);
    }, lateMs);
  }

  #execute(path, body, response) {
    const token = body.fenceToken ?? 0;
    if (token < this.#token) return this.#send(response, 409, { reason: 'fence' });
    this.#token = token;
    if (path === '/run-start') return this.#answerStart(response, body);
    if (path === '/run-stop') return this.#answerStop(response, body);
    if (path === '/pace') return this.#answerPace(response, body);
    if (path === '/hold') return void this.#answerHold(response, body);
    return this.#send(response, 404, {});
  }

  #send(response, status, body) {
    if (this.#isDark || response === undefined) return;
    send(response, status, { clockMs: this.#clockMs(), born: this.#born, ...body });
  }

  #extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const longest = this.#clockMs() + this.bounds.maxHoldMs;
    this.#leaseUntilMs = Math.max(this.#leaseUntilMs, Math.min(deadlineMs, longest));
  }

  #answerStart(response, body) {
    const { task, run, spec, deadlineMs, checkpoint = '' } = body;
    this.#extendLease(deadlineMs);
    if (this.#running.get(task)?.run === run) return this.#send(response, 200, {});
    if (run <= (this.#highestEnded.get(task) ?? 0) || this.#running.has(task))
      return this.#send(response, 409, { reason: 'old' });
    if (!(deadlineMs > this.#clockMs())) return this.#send(response, 409, { reason: 'late' });
    const [job, occurrence, step, index] = task.split('.');
    const entry = {
      task,
      run,
      gangKey: `${job}.${occurrence}.${step}/${run}`,
      step: JSON.parse(spec).steps[Number(step)],
      index: Number(index),
      resumedMs: checkpoint === '' ? 0 : parseInt(checkpoint.slice(0, 8), 16),
      checkpoint,
      beganAtMs: performance.now(),
      workSinceMs: undefined,
      workedMs: 0,
      percent: 100,
      tails: [],
    };
    this.#running.set(task, entry);
    this.record('run-began', { runner: this.id, task, run, checkpoint });
    this.onEvent({ kind: 'start', runner: this.id, task, run, checkpoint });
    if (entry.step.gang) this.#joinGang(entry);
    else entry.workSinceMs = entry.beganAtMs + (checkpoint === '' ? 0 : this.bounds.restoreMs);
    return this.#send(response, 200, {});
  }

  #answerStop(response, body) {
    const entry = this.#running.get(body.task);
    if (entry?.run === body.run) this.#end(entry, 'stopped');
    else if (entry === undefined)
      this.#highestEnded.set(body.task, Math.max(body.run, this.#highestEnded.get(body.task) ?? 0));
    return this.#send(response, 200, {});
  }

  #answerPace(response, { task, run, percent }) {
    const entry = this.#running.get(task);
    if (entry?.run === run)
      setTimeout(() => {
        entry.percent = percent;
        this.record('paced', { runner: this.id, task, run, percent });
      }, this.bounds.pacingMs);
    return this.#send(response, 200, {});
  }

  async #answerHold(response, { deadlineMs, ackedSeq = 0, waitMs = 0 }) {
    this.#extendLease(deadlineMs);
    for (const [number, task, run, how] of this.#finished)
      if (number <= ackedSeq) this.onEvent({ kind: 'noted', runner: this.id, task, run, how });
    this.#finished = this.#finished.filter(([number]) => number > ackedSeq);
    if (this.#finished.length === 0 && waitMs > 0)
      await new Promise((resolve) => {
        const wake = () => {
          this.#waiters.delete(wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(waitMs, 2_000));
        this.#waiters.add(wake);
      });
    this.#send(response, 200, {
      running: [...this.#running.values()].map((entry) => [
        entry.task,
        entry.run,
        entry.checkpoint,
        this.#percent(entry),
        this.#load(entry),
      ]),
      finished: this.#finished.slice(0, 500),
    });
  }

  #workedMs(entry) {
    return entry.resumedMs + entry.workedMs;
  }

  /** The mean tail of the last half second of a serving task. */
  #load({ step, tails }) {
    if (step.tailMs === undefined) return 0;
    return Math.round(tails.reduce((sum, tail) => sum + tail, 0) / Math.max(1, tails.length));
  }

  /** Tails of the serving tasks here, and how many tasks that fill work beside them. */
  describeTails() {
    const entries = [...this.#running.values()];
    return {
      tails: entries
        .filter(({ step }) => step.tailMs !== undefined)
        .map((entry) => ({ task: entry.task, tailMs: this.#load(entry) })),
      filling: entries.filter(({ step, percent }) => step.disturbMs > 0 && percent > 0).length,
    };
  }

  #measureTails() {
    const entries = [...this.#running.values()];
    const disturbMs = entries.reduce(
      (sum, { step, percent }) => sum + ((step.disturbMs ?? 0) * percent) / 100,
      0,
    );
    for (const { step, tails } of entries) {
      if (step.tailMs === undefined) continue;
      tails.push(step.tailMs + disturbMs);
      if (tails.length > TAIL_WINDOW_MS / TICK_MS) tails.shift();
    }
  }

  #percent(entry) {
    if (entry.step.longRunning) return performance.now() - entry.beganAtMs > STARTUP_MS ? 100 : 0;
    return Math.min(99, Math.floor((100 * this.#workedMs(entry)) / entry.step.ms));
  }

  /** A gang works from the moment at which all of its members of one run, with one checkpoint, are present. */
  #joinGang(entry) {
    let gang = Runner.#gangs.get(entry.gangKey);
    if (gang === undefined) Runner.#gangs.set(entry.gangKey, (gang = new Map()));
    gang.set(entry.index, { entry, runner: this });
    const members = [...gang.values()];
    const isPresent =
      members.length === entry.step.count &&
      members.every((member) => member.entry.checkpoint === entry.checkpoint);
    if (!isPresent) return;
    const delayMs = entry.checkpoint === '' ? 0 : this.bounds.restoreMs;
    for (const member of members) member.entry.workSinceMs = performance.now() + delayMs;
  }

  /** Takes the member out of its gang; the others cannot go on without it unless it is done. */
  #leaveGang(entry, how) {
    const gang = Runner.#gangs.get(entry.gangKey);
    if (gang === undefined) return;
    gang.delete(entry.index);
    if (gang.size === 0) Runner.#gangs.delete(entry.gangKey);
    if (how === 'alone') return;
    for (const { entry: member, runner } of [...gang.values()])
      if (member.workSinceMs !== undefined)
        setTimeout(() => {
          if (runner.#running.get(member.task) === member)
            runner.#end(member, how === 'done' ? 'done' : 'broken');
        }, 1);
  }

  #tick() {
    if (this.#leaseUntilMs > 0 && this.#clockMs() > this.#leaseUntilMs)
      for (const entry of [...this.#running.values()]) this.#end(entry, 'lapsed');
    this.#measureTails();
    const nowMs = performance.now();
    const elapsedMs = nowMs - this.#lastTickAtMs;
    this.#lastTickAtMs = nowMs;
    for (const entry of [...this.#running.values()]) {
      const { step } = entry;
      if (entry.workSinceMs !== undefined)
        entry.workedMs +=
          Math.max(0, Math.min(elapsedMs, nowMs - entry.workSinceMs)) * (entry.percent / 100);
      if (step.gang && entry.workSinceMs === undefined) {
        if (performance.now() - entry.beganAtMs > this.bounds.gangTimeoutMs)
          this.#end(entry, 'alone');
        continue;
      }
      const workedMs = this.#workedMs(entry);
      if (step.checkpointing) {
        const intervalMs = this.bounds.checkpointS * 1_000;
        const savedMs = Math.floor(workedMs / intervalMs) * intervalMs;
        if (savedMs > entry.resumedMs) entry.checkpoint = this.#formatCheckpoint(entry, savedMs);
      }
      if (entry.run <= (step.failures ?? 0) && workedMs > step.ms / 2) this.#end(entry, 'failed');
      else if (!step.longRunning && workedMs >= step.ms) this.#end(entry, 'done');
    }
  }

  /** The work that is saved, and an identification of the step: any member's value is valid for its gang. */
  #formatCheckpoint(entry, savedMs) {
    const identification = entry.gangKey.slice(0, 8);
    return `${Math.floor(savedMs).toString(16).padStart(8, '0')}${identification}`;
  }

  #end(entry, how) {
    this.#running.delete(entry.task);
    this.#highestEnded.set(
      entry.task,
      Math.max(entry.run, this.#highestEnded.get(entry.task) ?? 0),
    );
    if (how === 'stopped' && entry.step.checkpointing && entry.workSinceMs !== undefined)
      entry.checkpoint = this.#formatCheckpoint(entry, this.#workedMs(entry));
    this.#lastNumber += 1;
    const saved = how === 'done' ? '' : entry.checkpoint;
    this.#finished.push([this.#lastNumber, entry.task, entry.run, how, saved]);
    this.record('run-ended', { runner: this.id, task: entry.task, run: entry.run, how, saved });
    this.onEvent({ kind: 'end', runner: this.id, task: entry.task, run: entry.run, how });
    if (entry.step.gang) this.#leaveGang(entry, how);
    for (const wake of [...this.#waiters]) wake();
  }
}

function send(response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
