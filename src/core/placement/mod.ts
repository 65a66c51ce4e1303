/** Where a request goes. */
export { EndpointHealth, type HealthLimits } from "./endpoint_health.ts";
export {
  type EndpointFacts,
  EndpointPicture,
  type OwnAttempt,
  type PictureOptions,
} from "./endpoint_picture.ts";
export type { Candidate, PlacementQuestion } from "./candidate.ts";
export { Placer, type PlacerOptions } from "./placer.ts";
export { PrefixIndex } from "./prefix_index.ts";
export { type RoutingOptions, RoutingPlan } from "./routing_plan.ts";
export {
  chooseSubset,
  type SubsetCandidate,
  type SubsetOptions,
} from "./subset.ts";
