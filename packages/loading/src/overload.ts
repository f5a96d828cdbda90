import type { EngineProfile } from '@bulrushspar/catalogue';

/**
 * Share of a server's slots in use from which its requests slow each other down noticeably:
 * prefills interleave with the decoding of other requests long before all slots are in use.
 */
const OVERLOADED_SLOT_RATIO = 1 / 4;

/** Returns the number of running requests from which a server is overloaded. */
export function overloadThreshold({ slots }: Pick<EngineProfile, 'slots'>): number {
  return Math.max(2, slots * OVERLOADED_SLOT_RATIO);
}
