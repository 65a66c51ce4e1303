/** What endpoints crash on: facts among entries, and whom they let pass. */
export { CRASHES_METHOD, CrashExchange } from "./crash_exchange.ts";
export { type Admission, CrashGate, type CrashPass } from "./crash_gate.ts";
export { LostRunChecks } from "./lost_run_checks.ts";
export {
  TRIAL_ANSWER_METHOD,
  TRIAL_END_METHOD,
  TRIAL_PROOFS_METHOD,
  TRIAL_REQUEST_METHOD,
  TrialExchange,
} from "./trial_exchange.ts";
