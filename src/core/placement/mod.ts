/** Selection of the endpoint for a request. */
export { EndpointHealth, type HealthLimits } from "./endpoint_health.ts";
export {
  type EndpointConfig,
  EndpointView,
  type EndpointViewOptions,
  type OwnAttempt,
} from "./endpoint_view.ts";
export type { Candidate, PlacementQuery } from "./candidate.ts";
export { Placer, type PlacerOptions } from "./placer.ts";
export { PrefixIndex } from "./prefix_index.ts";
export { type RoutingOptions, RoutingPlan } from "./routing_plan.ts";
export {
  chooseSubset,
  type SubsetCandidate,
  type SubsetOptions,
} from "./subset.ts";
