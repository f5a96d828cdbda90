import winston from 'winston';

/** Additional fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes structured log lines. */
export interface Logger {
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Formats of log lines. */
export const LOG_FORMAT = { JSON: 'json', PRETTY: 'pretty' } as const;

/** One of {@link LOG_FORMAT}. */
export type LogFormat = (typeof LOG_FORMAT)[keyof typeof LOG_FORMAT];

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly level?: string;
  readonly format?: LogFormat;
  /** Fields added to every line, such as the name of the host. */
  readonly fields?: LogFields;
  /** Destination of the lines; standard error by default. */
  readonly stream?: NodeJS.WritableStream;
  /** Limit of lines per second; a separate line reports the number of lines that were dropped. */
  readonly maxLinesPerSecond?: number;
  /** Monotonic time in milliseconds; `performance.now()` by default. */
  readonly now?: () => number;
}

const MILLISECONDS_PER_SECOND = 1000;

/** Limits the number of lines per second and counts those that are dropped. */
function createRateLimiter(maxLinesPerSecond: number, now: () => number) {
  let windowStart = now();
  let linesInWindow = 0;
  let droppedLines = 0;
  return {
    /**
     * Counts one line against the limit.
     * @returns the number of lines dropped in the previous window, or undefined to drop this line
     */
    admit: (): number | undefined => {
      if (now() - windowStart >= MILLISECONDS_PER_SECOND) {
        const droppedBefore = droppedLines;
        windowStart = now();
        linesInWindow = 1;
        droppedLines = 0;
        return droppedBefore;
      }
      linesInWindow += 1;
      if (linesInWindow <= maxLinesPerSecond) return 0;
      droppedLines += 1;
      return undefined;
    },
  };
}

const prettyFormat = winston.format.printf(({ timestamp, level, message, ...fields }) => {
  const extra = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
  return [timestamp, level, message, ...extra].join(' ');
});

/** Creates a logger. Its methods never wait for the reader of the stream. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const { level = 'info', format = LOG_FORMAT.JSON, fields = {} } = options;
  const {
    stream = process.stderr,
    maxLinesPerSecond = Infinity,
    now = () => performance.now(),
  } = options;
  const limiter = createRateLimiter(maxLinesPerSecond, now);
  const lineFormat = format === LOG_FORMAT.PRETTY ? prettyFormat : winston.format.json();
  const logger = winston.createLogger({
    level,
    defaultMeta: fields,
    format: winston.format.combine(winston.format.timestamp(), lineFormat),
    transports: [new winston.transports.Stream({ stream })],
  });
  const write = (severity: 'info' | 'warn' | 'error', message: string, extra?: LogFields): void => {
    const droppedLines = limiter.admit();
    if (droppedLines === undefined) return;
    if (droppedLines > 0) logger.warn('lines left out', { count: droppedLines });
    logger.log(severity, message, extra);
  };
  return {
    info: (message, extra) => write('info', message, extra),
    warn: (message, extra) => write('warn', message, extra),
    error: (message, extra) => write('error', message, extra),
  };
}
