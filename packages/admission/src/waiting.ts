/** Numbers of waiting requests by service, model and rank, as hosts tell them to each other. */

/** Numbers of waiting requests, by key. */
export type WaitingCounts = Readonly<Record<string, number>>;

/** Requests that the same servers can run. */
export interface RequestGroup {
  readonly service: string;
  /** Empty if the request needs no model. */
  readonly model: string;
}

/** Waiting requests of a group and rank. */
export interface WaitingGroup extends RequestGroup {
  readonly rank: number;
  readonly count: number;
}

const SEPARATOR = '|';
/** Lower priorities are not told apart, so that a message holds few keys. */
const MAX_PRIORITY = 999;

/**
 * Returns the rank of a request; lower ones are served first. Requests of a priority that cannot meet
 * their objective any more come after those that can.
 */
export const rankOf = (priority: number, isLate: boolean): number =>
  2 * Math.min(MAX_PRIORITY, Math.max(0, Math.floor(priority))) + (isLate ? 1 : 0);

/** Encodes the key of a group and rank. */
export const encodeWaitingKey = ({ service, model }: RequestGroup, rank: number): string =>
  [rank, service, model].join(SEPARATOR);

/** Decodes counts from other hosts; keys that cannot be read are left out. */
export function decodeWaiting(counts: WaitingCounts): readonly WaitingGroup[] {
  return Object.entries(counts).flatMap(([key, count]) => {
    const [rank = '', service = '', ...model] = key.split(SEPARATOR);
    const isReadable = /^\d+$/.test(rank) && Number.isFinite(count) && count > 0;
    return isReadable ? [{ rank: Number(rank), service, model: model.join(SEPARATOR), count }] : [];
  });
}
