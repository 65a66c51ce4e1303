/** Publishing, validating and applying the operators' configuration. */
export { checkConfiguration } from "./check.ts";
export type { ConfigurationContent } from "./check.ts";
export type { ConfigurationProblem } from "./problem.ts";
export { ConfigurationFold } from "./configuration_fold.ts";
export type {
  ConfigurationFoldOptions,
  ConfigurationGuards,
  PendingPublication,
  PublicationOutcome,
} from "./configuration_fold.ts";
export { ConfigurationJudge } from "./configuration_judge.ts";
export type { ConfigurationJudgeOptions } from "./configuration_judge.ts";
export type { PublicationFailure } from "./errors.ts";
export { Publisher } from "./publisher.ts";
export type { PublicationOptions, PublisherOptions } from "./publisher.ts";
