import { Result } from 'true-myth/result';
import { Failure } from '@acaciahoist/errors';
import type { HttpClient } from './http-client.js';
import { JsonFields } from './json-fields.js';
import { readVm } from './read-vm.js';
import type { VmListClient } from './vm-list-client.js';

const MAX_VMS = 20_000;

/** Creates the client for the VM list at `address`. */
export function createVmListClient(settings: {
  http: HttpClient;
  address: string;
  /** Timeout of a call. Default 2,000. */
  timeoutMs?: number;
}): VmListClient {
  const createFailure = (message: string): Failure =>
    Failure.create('endpoint-failed', message, { endpoint: settings.address });
  return async () => {
    const result = await settings.http.call(settings.address, {
      method: 'GET',
      path: '/vms',
      timeoutMs: settings.timeoutMs ?? 2_000,
      maxResponseBytes: 16 * 1024 * 1024,
    });
    if (result.type !== 'reply') return Result.err(createFailure(result.reason));
    if (result.status !== 200)
      return Result.err(createFailure(`the VM list answered with status ${result.status}`));
    return JsonFields.read(result.body, (fields) => fields.list('vms', MAX_VMS, readVm)).mapErr(
      createFailure,
    );
  };
}
