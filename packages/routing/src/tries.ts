/** Steps of one request that {@link sendUntilAnswered} runs. */
export interface AttemptSteps<Destination, Answer> {
  /**
   * Selects the destination of the next attempt; rejects with the refusal that ends the request.
   * @param lastError error of the previous attempt; undefined before the first one
   */
  readonly selectDestination: (lastError: unknown) => Promise<Destination>;
  /** Sends the request once; rejects if the answer is incomplete. */
  readonly send: (destination: Destination) => Promise<Answer>;
  /** Handles a failed attempt: throws the refusal that ends the request, or returns to retry it. */
  readonly handleFailure: (destination: Destination, error: unknown) => void | Promise<void>;
}

/** Sends a request to one destination after another until it is answered or refused. */
export async function sendUntilAnswered<Destination, Answer>(
  steps: AttemptSteps<Destination, Answer>,
): Promise<Answer> {
  let lastError: unknown;
  for (;;) {
    /* eslint-disable no-await-in-loop -- attempts run in sequence */
    const destination = await steps.selectDestination(lastError);
    try {
      return await steps.send(destination);
    } catch (error) {
      lastError = error;
      await steps.handleFailure(destination, error);
    }
    /* eslint-enable no-await-in-loop */
  }
}
