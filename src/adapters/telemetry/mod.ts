/** Logging, metrics and tracing of a process. */
export {
  createLogger,
  type LabelledLogger,
  type LoggerOptions,
} from "./logger.ts";
export { Metrics, type MetricsOptions } from "./metrics.ts";
export {
  countLoadQuestions,
  countUnreadable,
  countUsageReports,
  recordForwarding,
  showBlockedRequests,
  showRepeats,
  showUsageFencing,
} from "./forwarding_record.ts";
export { createTracing, type Tracing, type TracingOptions } from "./tracing.ts";
