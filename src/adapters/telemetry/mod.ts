/** Logging, metrics and tracing of a process. */
export {
  type ComponentLogger,
  createLogger,
  type LoggerOptions,
} from "./logger.ts";
export { createFaultReporter } from "./fault_reporter.ts";
export { Metrics, type MetricsOptions } from "./metrics.ts";
export {
  type ConfigurationMetrics,
  createDroppedNotificationCounter,
  createForwardingObserver,
  createLoadQueryCounter,
  createPermitCounter,
  createRejectedConfigurationCounter,
  createStreamLookupCounter,
  createUnreadableRegistrationCounter,
  createUsageReportCounter,
  createVerdictCounter,
  registerConfigurationGauges,
  registerCrashGauges,
  registerKeptStreamsGauge,
  registerLimitedEndpointsGauge,
  registerPauseCounters,
  registerPlannedRolesGauges,
  registerResponseBufferGauge,
  registerRetryGauges,
  registerShareGauge,
  registerTakenOutEndpointsGauge,
  registerUsageFencingGauge,
} from "./forwarding_telemetry.ts";
export { createTracing, type Tracing, type TracingOptions } from "./tracing.ts";
