import type { Clock } from '@bulrushspar/clock';
import { messageOf } from '@bulrushspar/errors';
import type { Logger } from '@bulrushspar/logging';
import type { Link } from '@bulrushspar/peer';
import { followKind, type ObjectStore, type ObjectView } from '@bulrushspar/store';
import { MESSAGE, type PullAnswer, type PullMessage } from './messages.js';

/** All objects of one kind, followed in the store and, while that fails, through other hosts. */
export interface Source {
  readonly kind: string;
  /** Version at which the view last changed; 0 before the first view. */
  changedAt(): number;
  /** Takes the version at which another host saw the kind change. */
  hear(link: Link, changedAt: number): void;
  /** Answers another host that cannot reach the store. */
  snapshot(): PullAnswer;
  /** Reads the list anew on another connection. */
  refresh(why: string): void;
  run(signal: AbortSignal): Promise<void>;
}

/** Options of {@link createSource}. */
export interface SourceOptions {
  readonly kind: string;
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly onView: (view: ObjectView<unknown>) => void;
  /** Called when the store answers again after it had failed. */
  readonly onRegained?: () => void;
}

/** Wait of one watch; a third of the shortest history that a store keeps. */
const WATCH_SECONDS = 6;
/** Time that a watch may take longer than another host's to bring the same change. */
const BEHIND_MILLISECONDS = 300;
const PULL_MILLISECONDS = 1000;
const LONGEST_PAUSE_MILLISECONDS = 800;

/** Creates the source of one kind; it holds nothing until it runs. */
export function createSource(options: SourceOptions): Source {
  const { kind, store, clock, logger, onView, onRegained = () => {} } = options;
  let view: ObjectView<unknown> = new Map();
  let changedAt = 0;
  let failing = false;
  let pulling = false;
  let checkedAt = 0;
  let renewal = new AbortController();

  const take = (next: ObjectView<unknown>, version: number): void => {
    view = new Map(next);
    changedAt = Math.max(changedAt, version);
    onView(view);
  };

  const pull = async (link: Link): Promise<void> => {
    if (pulling) return;
    pulling = true;
    try {
      const body: PullMessage = { kind };
      const answer = await link.request<PullAnswer>(MESSAGE.PULL, body, PULL_MILLISECONDS);
      if (!failing || answer.changedAt <= changedAt) return;
      logger.info('objects taken from another host', {
        kind,
        from: link.peer.host,
        version: answer.changedAt,
      });
      take(new Map(answer.objects.map((object) => [object.name, object])), answer.changedAt);
    } catch (error) {
      logger.warn('another host gave no objects', { kind, error: messageOf(error) });
    } finally {
      pulling = false;
    }
  };

  const refresh = (why: string): void => {
    logger.info('objects are read anew', { kind, why, version: changedAt });
    renewal.abort(new Error(why));
  };

  const checkBehind = (version: number): void => {
    checkedAt = version;
    clock.after(BEHIND_MILLISECONDS, () => {
      if (changedAt < version && !failing) refresh('another host saw a later change');
    });
  };

  return {
    kind,
    changedAt: () => changedAt,
    hear: (link, version) => {
      if (version <= changedAt) return;
      if (failing) pull(link).catch(() => {});
      else if (version > checkedAt && changedAt > 0) checkBehind(version);
    },
    snapshot: () => ({ changedAt, objects: [...view.values()] }),
    refresh,
    run: (signal) =>
      followKind<unknown>({
        store,
        clock,
        kind,
        signal,
        watchSeconds: WATCH_SECONDS,
        longestPauseMilliseconds: LONGEST_PAUSE_MILLISECONDS,
        renew: () => {
          renewal = new AbortController();
          return renewal.signal;
        },
        onView: (next, version) => take(next, version.changedAt),
        onAnswer: () => {
          if (!failing) return;
          failing = false;
          logger.info('store regained', { kind });
          onRegained();
        },
        onFailure: (error) => {
          if (renewal.signal.aborted) return;
          if (!failing) logger.warn('store lost', { kind, error: messageOf(error) });
          failing = true;
        },
      }),
  };
}
