import type { Vm } from '@acaciahoist/types/vm';
import type { JsonFields } from './json-fields.js';
import { readResources } from './read-resources.js';

/** Reads an entry of the VM list. */
export function readVm(fields: JsonFields): Vm {
  const vm = {
    address: fields.text('address'),
    dataCentre: fields.text('dataCentre'),
    rack: fields.text('rack'),
    role: fields.oneOf('role', ['entry', 'runner', 'worker']),
    state: fields.oneOf('state', ['live', 'leaving']),
    services: fields.texts('services', 1_000),
  };
  return fields.has('resources')
    ? { ...vm, resources: readResources(fields.object('resources')) }
    : vm;
}
