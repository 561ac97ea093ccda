import type { TextFormat } from './text-format.js';

const OCTET = '(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])';
const PORT =
  '(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})';
const IPV4 = `${OCTET}(?:\\.${OCTET}){3}`;

/** Compiles a pattern that matches whole texts only. */
function compilePattern(body: string): RegExp {
  return new RegExp(`^(?:${body})$`);
}

/** The formats of text fields. */
export const textFormats = {
  name: {
    name: 'name',
    pattern: compilePattern('[a-z][a-z0-9-]*'),
    maxLength: 63,
    example: 'luz-norte',
    rule: 'lower-case letters, digits and hyphens, starting with a letter, at most 63 characters',
  },
  family: {
    name: 'family',
    pattern: compilePattern('[A-Za-z0-9][A-Za-z0-9._/-]*'),
    maxLength: 128,
    example: 'tariff/recalculation',
    rule: 'letters, digits and ". _ / -", starting with a letter or digit, at most 128 characters',
  },
  key: {
    name: 'idempotency key',
    pattern: compilePattern('[\\x21-\\x7e]+'),
    maxLength: 256,
    example: 'capsule-1871-sealing',
    rule: 'printable ASCII characters without spaces, at most 256',
  },
  token: {
    name: 'token',
    pattern: compilePattern('[A-Za-z0-9._~+/-]{16,}=*'),
    maxLength: 256,
    example: '0123456789abcdef',
    rule: '16 to 256 of the characters that a bearer token may have',
  },
  address: {
    name: 'address',
    pattern: compilePattern(`${IPV4}:${PORT}`),
    maxLength: 21,
    example: '127.0.0.1:7100',
    rule: 'an IPv4 address and a port from 1 to 65535; host names are not resolved',
  },
  host: {
    name: 'host',
    pattern: compilePattern(IPV4),
    maxLength: 15,
    example: '127.0.0.1',
    rule: 'an IPv4 address; host names are not resolved',
  },
  url: {
    name: 'URL',
    pattern: compilePattern(`http://${IPV4}:${PORT}(?:/[A-Za-z0-9._~/-]*)?`),
    maxLength: 256,
    example: 'http://127.0.0.1:7000',
    rule: 'http://, an IPv4 address, a port and possibly a path',
  },
  metricPrefix: {
    name: 'metric prefix',
    pattern: compilePattern('(?:[A-Za-z0-9_-]+\\.)*'),
    maxLength: 64,
    example: 'acaciahoist.',
    rule: 'names that each end with a dot, or nothing',
  },
} as const satisfies Readonly<Record<string, TextFormat>>;
