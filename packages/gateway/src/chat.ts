import * as z from 'zod';
import type { Configuration } from '@bulrushspar/configuration';
import { createRefusal, REFUSAL } from '@bulrushspar/errors';
import type { NamedRoute } from './services.js';

/** A validated request of a caller to a model. */
export interface ChatRequest {
  readonly route: NamedRoute;
  readonly model: string;
  readonly adapter?: string;
  readonly stream: boolean;
  /** Maximum cost: estimated input tokens plus the output limit. */
  readonly maxTokens: number;
  /** JSON body that is sent to the server. */
  readonly body: string;
}

const DEFAULT_OUTPUT_TOKENS = 512;
const CHARACTERS_PER_TOKEN = 4;
/** Priority that the engine receives with batch requests. */
const BATCH_PRIORITY = 10;

const REQUEST_SCHEMA = z.looseObject({
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

function createBadRequestRefusal(message: string) {
  return createRefusal({ status: 400, code: REFUSAL.BAD_REQUEST, message });
}

function parseBody(body: Buffer) {
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw createBadRequestRefusal(`the body is not JSON: ${(error as Error).message}`);
  }
  const result = REQUEST_SCHEMA.safeParse(value);
  if (result.success) return result.data;
  const problems = result.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`);
  throw createBadRequestRefusal(problems.join('; '));
}

function findModelRoute(configuration: Configuration, name: string): NamedRoute {
  const route = Object.hasOwn(configuration.routes, name) ? configuration.routes[name] : undefined;
  if (route?.model === undefined) {
    throw createRefusal({
      status: 404,
      code: REFUSAL.NOT_FOUND,
      message: `model ${name} does not exist`,
    });
  }
  return { name, route };
}

/**
 * Validates the body of a request to a model. Throws a refusal that lists every problem of the schema.
 * @param field input field that the endpoint requires
 */
export function parseChatRequest(
  configuration: Configuration,
  body: Buffer,
  field: 'messages' | 'prompt',
): ChatRequest {
  const parsed = parseBody(body);
  if (parsed[field] === undefined) throw createBadRequestRefusal(`${field}: the field is missing`);
  const route = findModelRoute(configuration, parsed.model);
  const { adapter, priority } = route.route;
  const model = route.route.model!;
  const maxOutputTokens =
    parsed.max_completion_tokens ?? parsed.max_tokens ?? DEFAULT_OUTPUT_TOKENS;
  const inputText = JSON.stringify(parsed[field]);
  return {
    route,
    model,
    ...(adapter === undefined ? {} : { adapter }),
    stream: parsed.stream,
    maxTokens: Math.ceil(inputText.length / CHARACTERS_PER_TOKEN) + maxOutputTokens,
    body: JSON.stringify({
      ...parsed,
      model: adapter ?? model,
      max_tokens: maxOutputTokens,
      ...(priority === 'batch' ? { priority: BATCH_PRIORITY } : {}),
    }),
  };
}
