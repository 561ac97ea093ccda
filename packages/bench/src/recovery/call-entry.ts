import type { ErrorKind } from '@acaciahoist/errors/error-kind';
import { request, type Agent } from 'undici';
import type { CallerAnswer } from './caller-answer.js';

interface Options {
  agent: Agent;
  url: string;
  method: 'GET' | 'POST' | 'DELETE';
  headers: Record<string, string>;
  text: string | undefined;
  timeoutMs: number;
}

/** Makes one HTTP call to an entry process and returns what the caller received. */
export async function callEntry(options: Options): Promise<CallerAnswer> {
  const { agent, url, method, headers, text, timeoutMs } = options;
  try {
    const response = await request(url, {
      dispatcher: agent,
      method,
      headers,
      signal: AbortSignal.timeout(timeoutMs),
      ...(text === undefined ? {} : { body: text }),
    });
    return readAnswer(response.statusCode, await response.body.text());
  } catch (error) {
    return classifyError(error);
  }
}

function readAnswer(status: number, text: string): CallerAnswer {
  const body = parseJson(text);
  const failure = (body as { error?: { kind?: ErrorKind } } | null)?.error;
  if (status >= 400 && failure?.kind !== undefined) return { type: 'error', kind: failure.kind };
  return { type: 'reply', status, text, body };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return null;
  }
}

function classifyError(error: unknown): CallerAnswer {
  const { name, code } = error as { name?: string; code?: string };
  if (name === 'TimeoutError') return { type: 'timeout' };
  return code === 'ECONNREFUSED' ? { type: 'refused-connection' } : { type: 'closed' };
}
