/** The HTTP API for callers. */
export { CallerApiServer } from "./caller_api_server.ts";
export type {
  CallerApiServerOptions,
  CallerService,
  SubmittedRequest,
} from "./caller_api_server.ts";
