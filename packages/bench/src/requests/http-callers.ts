import { Pool, type Dispatcher } from 'undici';
import type { createRequestLoad } from './create-request-load.js';
import type { RequestResult } from './request-result.js';

type LoadRequest = ReturnType<typeof createRequestLoad>[number];

const TIMEOUT_MS = 15_000;

/** HTTP clients of the requests bench, with a limited number of connections to each address. */
export class HttpCallers {
  static create(connections: number): HttpCallers {
    return new HttpCallers(connections);
  }

  private readonly pools = new Map<string, Pool>();

  private constructor(private readonly connections: number) {}

  /** Sends a request with its id as the body; the runner must return the same body. */
  async send(
    address: string,
    path: string,
    request: LoadRequest,
    headers: Record<string, string>,
  ): Promise<RequestResult['outcome']> {
    const { id } = request;
    let response: Dispatcher.ResponseData;
    let text: string;
    try {
      response = await this.poolOf(address).request({ method: 'POST', path, headers, body: id });
      text = await response.body.text();
    } catch {
      return 'lost';
    }
    if (response.statusCode === 200) return text === id ? 'completed' : 'lost';
    return classifyError(text);
  }

  close(): Promise<unknown> {
    return Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  private poolOf(address: string): Pool {
    const existing = this.pools.get(address);
    if (existing !== undefined) return existing;
    const pool = new Pool(`http://${address}`, {
      connections: this.connections,
      headersTimeout: TIMEOUT_MS,
      bodyTimeout: TIMEOUT_MS,
    });
    this.pools.set(address, pool);
    return pool;
  }
}

/** Classifies an error response, which states whether the request ran. */
function classifyError(text: string): RequestResult['outcome'] {
  if (text.includes('"not-run"')) return 'refused';
  return 'unknown';
}
