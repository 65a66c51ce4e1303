import type { PlannedStop } from "../core/forwarding/mod.ts";
import type { SideLink } from "../core/links/mod.ts";
import type { EmitEvent, Tracer } from "../core/observation/mod.ts";
import type { OnceCoordinator } from "../core/once/mod.ts";
import type { Scheduler } from "../core/scheduling/mod.ts";
import type { TimerService } from "../core/time/mod.ts";
import type { SideDirectory } from "./side_directory.ts";

/** Dependencies that all request runs of one entry share. */
export interface RunContext {
  readonly timer: TimerService;
  readonly scheduler: Scheduler;
  readonly sideLink: SideLink;
  readonly directory: SideDirectory;
  readonly onceCoordinator: OnceCoordinator;
  /** Maximum attempts per request, including the first. */
  readonly mostAttempts: number;
  /** Decides what is still sent after the entry was asked to stop. */
  readonly plannedStop: PlannedStop;
  readonly tracer: Tracer;
  readonly emitEvent: EmitEvent;
}
