/** Structured logging. */
export {
  createLogger,
  LOG_FORMAT,
  type LogFields,
  type LogFormat,
  type Logger,
  type LoggerOptions,
} from './logger.js';
