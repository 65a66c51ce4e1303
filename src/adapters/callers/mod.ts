/** The HTTP door for callers. */
export { CallerDoor } from "./caller_door.ts";
export type {
  CallerDoorOptions,
  CallerService,
  OpenRequest,
} from "./caller_door.ts";
