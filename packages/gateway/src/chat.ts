import * as z from 'zod';
import type { Configuration } from '@bulrushspar/configuration';
import { createRefusal, REFUSAL } from '@bulrushspar/errors';
import type { NamedRoute } from './services.js';

/** A caller's request to a model, checked. */
export interface ChatRequest {
  readonly route: NamedRoute;
  readonly model: string;
  readonly adapter?: string;
  readonly stream: boolean;
  /** Most tokens that it can cost. */
  readonly tokens: number;
  /** What the server receives. */
  readonly body: string;
}

const DEFAULT_OUTPUT_TOKENS = 512;
const CHARACTERS_PER_TOKEN = 4;
const BATCH_PRIORITY = 10;

const schema = z.looseObject({
  model: z.string(),
  stream: z.boolean().default(false),
  max_tokens: z.int().positive().optional(),
  max_completion_tokens: z.int().positive().optional(),
  n: z.literal(1).optional(),
  messages: z
    .array(z.looseObject({ role: z.string() }))
    .min(1)
    .optional(),
  prompt: z.string().optional(),
});

function badRequest(message: string) {
  return createRefusal({ status: 400, code: REFUSAL.BAD_REQUEST, message });
}

function parse(body: Buffer) {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw badRequest(`the body is not JSON: ${(error as Error).message}`);
  }
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const findings = result.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
  throw badRequest(findings.join('; '));
}

function findRoute(configuration: Configuration, name: string): NamedRoute {
  const route = Object.hasOwn(configuration.routes, name) ? configuration.routes[name] : undefined;
  if (route?.model === undefined) {
    throw createRefusal({
      status: 404,
      code: REFUSAL.NOT_FOUND,
      message: `there is no model ${name}`,
    });
  }
  return { name, route };
}

/**
 * Checks the body of a request to a model; rejects with a refusal that names all that is wrong.
 * @param field that the interface asks for
 */
export function readChat(
  configuration: Configuration,
  body: Buffer,
  field: 'messages' | 'prompt',
): ChatRequest {
  const value = parse(body);
  if (value[field] === undefined) throw badRequest(`${field}: expected, found nothing`);
  const route = findRoute(configuration, value.model);
  const { adapter, priority } = route.route;
  const model = route.route.model!;
  const output = value.max_completion_tokens ?? value.max_tokens ?? DEFAULT_OUTPUT_TOKENS;
  const text = JSON.stringify(value[field]);
  return {
    route,
    model,
    ...(adapter === undefined ? {} : { adapter }),
    stream: value.stream,
    tokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN) + output,
    body: JSON.stringify({
      ...value,
      model: adapter ?? model,
      max_tokens: output,
      ...(priority === 'batch' ? { priority: BATCH_PRIORITY } : {}),
    }),
  };
}
