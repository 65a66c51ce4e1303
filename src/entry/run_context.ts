import type { SideLink } from "../core/links/mod.ts";
import type { Tell, Tracer } from "../core/observation/mod.ts";
import type { OnceCoordinator } from "../core/once/mod.ts";
import type { Scheduler } from "../core/scheduling/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type { SideDirectory } from "./side_directory.ts";

/** What every request's run at one entry shares. */
export interface RunContext {
  readonly timer: TimerService;
  readonly scheduler: Scheduler;
  readonly sides: SideLink;
  readonly directory: SideDirectory;
  readonly once: OnceCoordinator;
  /** Most attempts of one request, the first included. */
  readonly mostAttempts: number;
  readonly tracer: Tracer;
  readonly tell: Tell;
}
