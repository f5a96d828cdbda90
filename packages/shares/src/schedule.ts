/** Spaces out what several senders send to receivers that have named a limit. */
import type { Clock } from '@bulrushspar/clock';

/** A sender's request for a place in the schedule of a receiver. */
export interface ReservationRequest {
  readonly receiver: string;
  /** Limit of the receiver. */
  readonly perSecond: number;
  /** Longest time that the sender can wait. */
  readonly maxMilliseconds: number;
}

/** A place in a schedule, or how long the next one is away. */
export interface Reservation {
  /** Whether the sender may send once, after the delay; otherwise the delay was too long for it. */
  readonly isGranted: boolean;
  readonly delayMilliseconds: number;
}

/** Schedules of the receivers that have a limit. */
export interface SendSchedule {
  reserve(request: ReservationRequest): Reservation;
  /** Counts something that is sent without a reservation. */
  charge(request: Omit<ReservationRequest, 'maxMilliseconds'>): void;
  /** Begins the schedule of a receiver anew with its next reservation. */
  forget(receiver: string): void;
}

/** Options of {@link createSendSchedule}. */
export interface SendScheduleOptions {
  readonly clock: Clock;
  /**
   * Returns the delay of the first place of a receiver, for the time between two places. By default
   * that time: what was sent before is not known.
   */
  readonly getFirstDelay?: (intervalMilliseconds: number) => number;
  /**
   * Keeps the places of a receiver at regular times, so that the places of several senders with the
   * same schedule stay spread; a place that is not used is lost.
   */
  readonly isRegular?: boolean;
}

const MILLISECONDS_PER_SECOND = 1000;
/** Places that a receiver may be sent at once after a pause. */
const BURST = 2;
/** Time after which the schedule of a receiver without requests is dropped. */
const IDLE_MILLISECONDS = 60_000;

/** Creates schedules, of which none has a place taken. */
export function createSendSchedule(options: SendScheduleOptions): SendSchedule {
  const { clock, getFirstDelay = (intervalMilliseconds) => intervalMilliseconds } = options;
  const { isRegular = false } = options;
  /** Time on the monotonic clock of the next place that is free, by receiver. */
  const nextPlaces = new Map<string, number>();

  const removeIdle = (): void => {
    const oldest = clock.monotonic() - IDLE_MILLISECONDS;
    nextPlaces.forEach((at, receiver) => {
      if (at < oldest) nextPlaces.delete(receiver);
    });
  };

  const findNextPlace = (receiver: string, intervalMilliseconds: number): number => {
    const now = clock.monotonic();
    const next = nextPlaces.get(receiver) ?? now + getFirstDelay(intervalMilliseconds);
    if (!isRegular) return Math.max(next, now - (BURST - 1) * intervalMilliseconds);
    const missedPlaces = Math.max(0, Math.ceil((now - next) / intervalMilliseconds));
    return next + missedPlaces * intervalMilliseconds;
  };

  return {
    reserve: ({ receiver, perSecond, maxMilliseconds }) => {
      removeIdle();
      const intervalMilliseconds = MILLISECONDS_PER_SECOND / perSecond;
      const next = findNextPlace(receiver, intervalMilliseconds);
      const delayMilliseconds = Math.max(0, next - clock.monotonic());
      const isGranted = delayMilliseconds <= maxMilliseconds;
      nextPlaces.set(receiver, isGranted ? next + intervalMilliseconds : next);
      return { isGranted, delayMilliseconds };
    },
    charge: ({ receiver, perSecond }) => {
      const intervalMilliseconds = MILLISECONDS_PER_SECOND / perSecond;
      const next = findNextPlace(receiver, intervalMilliseconds);
      nextPlaces.set(receiver, next + intervalMilliseconds);
    },
    forget: (receiver) => {
      nextPlaces.delete(receiver);
    },
  };
}
