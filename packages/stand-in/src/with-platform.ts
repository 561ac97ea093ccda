import { SystemClock } from '@acaciahoist/clock/system-clock';
import { HttpClient } from '@acaciahoist/http-client';
import type { ClientSettings } from '@acaciahoist/http-client/client-settings';
import { StandIn } from './stand-in.js';
import type { PartialSettings } from './partial-settings.js';

/**
 * Runs `body` with a started platform and a client, and closes both afterwards. The platform has
 * one worker and one runner unless the settings say otherwise.
 */
export async function withPlatform(
  settings: PartialSettings,
  body: (platform: StandIn, http: HttpClient) => Promise<void>,
  clientSettings: Partial<ClientSettings> = {},
): Promise<void> {
  const platform = StandIn.create({
    ...settings,
    workers: { count: 1, ...settings.workers },
    runners: { count: 1, ...settings.runners },
  });
  const http = HttpClient.create({ clock: SystemClock.create(), process: 'p1', ...clientSettings });
  await platform.start();
  try {
    await body(platform, http);
  } finally {
    http.close();
    await platform.stop();
  }
}
