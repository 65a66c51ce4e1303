/** What endpoints crash on: facts among entries, and whom they let pass. */
export { CrashExchange } from "./crash_exchange.ts";
export { type Admission, CrashGate, type CrashPass } from "./crash_gate.ts";
export { LostRunChecks } from "./lost_run_checks.ts";
export { TrialExchange } from "./trial_exchange.ts";
