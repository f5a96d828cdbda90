/** How a request is sent until it is answered. */
export interface Tries<Place, Answer> {
  /**
   * Finds where the request goes next; throws the refusal that ends it.
   * @param last why the sending before failed; undefined before the first one
   */
  readonly next: (last: unknown) => Promise<Place>;
  /** Sends the request once; rejects where the answer is not whole. */
  readonly send: (place: Place) => Promise<Answer>;
  /** Judges a failed sending: throws the refusal that ends the request, or returns to go on. */
  readonly judge: (place: Place, error: unknown) => void | Promise<void>;
}

/** Sends a request to one place after another until it is answered or refused. */
export async function sendUntilAnswered<Place, Answer>(
  tries: Tries<Place, Answer>,
): Promise<Answer> {
  let last: unknown;
  for (;;) {
    /* eslint-disable no-await-in-loop -- tries follow one another */
    const place = await tries.next(last);
    try {
      return await tries.send(place);
    } catch (error) {
      last = error;
      await tries.judge(place, error);
    }
    /* eslint-enable no-await-in-loop */
  }
}
