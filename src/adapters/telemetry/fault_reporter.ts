import { Counter, type Registry } from "prom-client";
import { stackOf } from "../../core/errors/mod.ts";
import type { Logger } from "../../core/observation/mod.ts";
import type { OnThrow } from "../../core/time/mod.ts";

export interface FaultReporterOptions {
  readonly registry: Registry;
  readonly logger: Logger;
}

/**
 * Returns what logs and counts the throws of steps that belong to no request,
 * by the part of the process that runs them.
 */
export function createFaultReporter(
  { logger, registry }: FaultReporterOptions,
): (part: string) => OnThrow {
  const faults = new Counter({
    name: "filbertshore_step_faults_total",
    help: "Steps outside requests that have thrown, by the part that ran them",
    labelNames: ["part"],
    registers: [registry],
  });
  return (part) => (cause) => {
    faults.inc({ part });
    logger.error(
      { part, problem: stackOf(cause) },
      "A step has thrown; it ends, and its part goes on",
    );
  };
}
