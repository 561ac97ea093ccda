import { StandIn } from '@acaciahoist/stand-in';

type Settings = Parameters<typeof StandIn.create>[0];

// Runs the simulated platform with the settings in the first argument, as JSON, and writes the addresses
// of its members to standard output as one line of JSON.
const settings = JSON.parse(process.argv[2] ?? '{}') as Settings;
const platform = StandIn.create(settings);
void platform.start().then(() => {
  process.stdout.write(`${JSON.stringify(platform.addresses())}\n`);
});
process.once('SIGTERM', () => {
  void platform.stop().then(() => process.exit(0));
});
