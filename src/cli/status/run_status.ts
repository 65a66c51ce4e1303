import process from "node:process";
import { HttpPeerClient } from "../../adapters/peers/mod.ts";
import { loadSettings } from "../../adapters/settings/mod.ts";
import { identifier } from "../../core/identity/mod.ts";
import {
  EXIT_CODE_FAILURE,
  EXIT_CODE_INVALID_INPUT,
  EXIT_CODE_SUCCESS,
} from "../exit_codes.ts";
import { reportInvalidSettings } from "../process_lifecycle.ts";
import type { StatusArguments } from "./command.ts";
import { queryFleet } from "./fleet_status.ts";
import { renderStatus } from "./status_tables.ts";

/** Queries the entries and prints their status; returns the exit code. */
export async function runStatus(
  options: StatusArguments,
): Promise<number> {
  const settings = loadSettings(options.settings, "operator");
  if (settings.isErr()) {
    reportInvalidSettings(settings.error);
    return EXIT_CODE_INVALID_INPUT;
  }
  const peers = new HttpPeerClient();
  const fleet = await queryFleet(
    peers,
    settings.value.entries.map((each) => identifier(each)),
  );
  peers.close();
  process.stdout.write(
    `${options.json ? JSON.stringify(fleet) : renderStatus(fleet)}\n`,
  );
  const complete = fleet.entries.length > 0 &&
    fleet.entries.every((entry) => entry.status !== undefined);
  return complete ? EXIT_CODE_SUCCESS : EXIT_CODE_FAILURE;
}
