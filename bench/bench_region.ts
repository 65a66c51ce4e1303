import { SystemTimerService } from "../src/adapters/time/mod.ts";

/** Names and sizes that the processes of a measurement share. */
export const BENCH_REGION = "klang-valley";
export const ZONE = "shah-alam";
export const MODEL = "triage-llm";
export const SLOTS = 64;
export const ENDPOINTS_PER_POOL = 32;

export const timer = new SystemTimerService();
