import {
  EndpointLoadReports,
  ExpectedTimes,
  FleetLoad,
  OpenRequests,
  SentRequests,
  ServiceTimes,
} from "../../src/core/forwarding/mod.ts";
import type { TimerService } from "../../src/core/time/mod.ts";

/** State by which an entry of a small fleet places plain services. */
export function makePlacementState(timer: TimerService) {
  const load = new FleetLoad(timer);
  const state = {
    timer,
    load,
    loadReports: new EndpointLoadReports(),
    sentRequests: new SentRequests(timer),
    serviceTimes: new ServiceTimes(timer),
    openRequests: new OpenRequests({ timer, load, isLoadStale: () => false }),
  };
  return { ...state, expectedTimes: new ExpectedTimes(state) };
}
