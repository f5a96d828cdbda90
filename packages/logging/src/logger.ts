import winston from 'winston';

/** Extra fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes structured log lines. */
export interface Logger {
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Ways to print a line. */
export const LOG_FORMAT = { JSON: 'json', PRETTY: 'pretty' } as const;

/** One of {@link LOG_FORMAT}. */
export type LogFormat = (typeof LOG_FORMAT)[keyof typeof LOG_FORMAT];

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly level?: string;
  readonly format?: LogFormat;
  /** Fields on each line, such as the host's name. */
  readonly fields?: LogFields;
  /** Where lines go; standard error unless stated. */
  readonly stream?: NodeJS.WritableStream;
  /** Lines written each second at most; what is left out is counted in a line of its own. */
  readonly mostPerSecond?: number;
  /** Milliseconds by a clock that never goes back. */
  readonly now?: () => number;
}

const MILLISECONDS_PER_SECOND = 1000;

/** Lets a bounded number of lines through each second and counts the others. */
function createLimiter(mostPerSecond: number, now: () => number) {
  let began = now();
  let written = 0;
  let leftOut = 0;
  return {
    /** @returns lines left out in the second before, or undefined where a line must be left out */
    take: (): number | undefined => {
      if (now() - began >= MILLISECONDS_PER_SECOND) {
        const before = leftOut;
        began = now();
        written = 1;
        leftOut = 0;
        return before;
      }
      written += 1;
      if (written <= mostPerSecond) return 0;
      leftOut += 1;
      return undefined;
    },
  };
}

const pretty = winston.format.printf(({ timestamp, level, message, ...fields }) => {
  const extra = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`);
  return [timestamp, level, message, ...extra].join(' ');
});

/** Creates a logger; it never waits for what reads its lines. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const { level = 'info', format = LOG_FORMAT.JSON, fields = {} } = options;
  const {
    stream = process.stderr,
    mostPerSecond = Infinity,
    now = () => performance.now(),
  } = options;
  const limiter = createLimiter(mostPerSecond, now);
  const last = format === LOG_FORMAT.PRETTY ? pretty : winston.format.json();
  const logger = winston.createLogger({
    level,
    defaultMeta: fields,
    format: winston.format.combine(winston.format.timestamp(), last),
    transports: [new winston.transports.Stream({ stream })],
  });
  const write = (severity: 'info' | 'warn' | 'error', message: string, extra?: LogFields): void => {
    const leftOut = limiter.take();
    if (leftOut === undefined) return;
    if (leftOut > 0) logger.warn('lines left out', { count: leftOut });
    logger.log(severity, message, extra);
  };
  return {
    info: (message, extra) => write('info', message, extra),
    warn: (message, extra) => write('warn', message, extra),
    error: (message, extra) => write('error', message, extra),
  };
}
