import { flag, option, optional } from 'cmd-ts';
import type { Type } from 'cmd-ts';
import { textFormats } from '@acaciahoist/declaration/text-formats';

const serverUrlType: Type<string, string> = {
  displayName: 'http://ip:port',
  from: (text) => {
    const url = text.replace(/\/$/, '');
    if (/^http:\/\/[0-9.]+:[0-9]{1,5}$/.test(url)) return Promise.resolve(url);
    return Promise.reject(
      new Error(`"${text}" is not http://ip:port, such as http://127.0.0.1:7101`),
    );
  },
};

const bearerTokenType: Type<string, string> = {
  displayName: 'TOKEN',
  from: (text) => {
    if (textFormats.token.pattern.test(text)) return Promise.resolve(text);
    return Promise.reject(new Error(`the token is not valid; use ${textFormats.token.rule}`));
  },
};

/** Options of the commands that call a server. */
export const serverOptions = {
  server: option({
    type: optional(serverUrlType),
    long: 'server',
    env: 'ACACIAHOIST_SERVER',
    description:
      'address at which an entry process serves callers, or inspection address of a process in the platform role',
  }),
  token: option({
    type: optional(bearerTokenType),
    long: 'token',
    env: 'ACACIAHOIST_TOKEN',
    description: 'bearer token of the operator or caller',
  }),
  json: flag({ long: 'json', description: 'print JSON for programs, also for errors' }),
};
