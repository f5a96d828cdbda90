import * as z from 'zod';
import { checkDocument, type CheckedDocument } from '@bulrushspar/document';

const MAX_PORT = 65_535;

const ipAddress = z.union([z.ipv4(), z.ipv6()], 'an IP address');
const port = z.int('a whole number').min(0, 'a port from 0').max(MAX_PORT, 'a port to 65535');
const endpoint = z.strictObject({ address: ipAddress, port });
const positiveSeconds = z.number('a number of seconds').positive('a number of seconds above 0');

const settingsSchema = z.strictObject({
  node: z.strictObject({
    host: z.string('a host name').min(1, 'a host name'),
    failure_domain: z.string('a failure domain').min(1, 'a failure domain'),
    stop_within_seconds: positiveSeconds.default(60),
    /** Time between leaving the load balancer and refusing new requests. */
    leave_seconds: z.number('a number of seconds').nonnegative('a number of seconds').default(2),
  }),
  callers: endpoint,
  operators: endpoint.extend({
    token: z.string('a shared token').min(16, 'a shared token of at least 16 characters'),
  }),
  peers: endpoint.extend({
    secrets: z
      .array(z.string('a secret').min(16, 'a secret of at least 16 characters'))
      .min(1, 'one secret, or two while one is being replaced'),
  }),
  platform: z.strictObject({
    object_api: z.url('the URL of the object API'),
    host_list: z.url('the URL of the host list'),
    weight_store: z.url('the URL of the weight store'),
    timeout_seconds: positiveSeconds.default(2),
  }),
  log: z
    .strictObject({
      level: z
        .enum(['error', 'warn', 'info', 'debug'], 'one of error, warn, info, debug')
        .default('info'),
      format: z.enum(['json', 'pretty'], 'one of json, pretty').default('json'),
    })
    .default({ level: 'info', format: 'json' }),
});

/** Settings of one node process, with defaults filled in. */
export type Settings = z.output<typeof settingsSchema>;

/**
 * Parses and validates a settings file.
 * @param file file name to report in findings
 * @param text content of the file, in TOML
 * @returns the settings with defaults filled in, or all findings
 */
export function checkSettings(file: string, text: string): CheckedDocument<Settings> {
  return checkDocument(file, text, settingsSchema);
}
