import { spawn } from "node:child_process";
import { builtBinary } from "./built_binary.ts";
import type { SmallDeployment } from "./small_deployment.ts";

/** How a command ended. */
export interface CommandEnd {
  readonly code: number | null;
  readonly output: string;
}

/** Runs a command of the binary to its end. */
export function runCommand(words: readonly string[]): Promise<CommandEnd> {
  return new Promise((resolve) => {
    const child = spawn(builtBinary(), words, { timeout: 30_000 });
    let output = "";
    child.stdout.on("data", (piece) => output += piece);
    child.stderr.on("data", (piece) => output += piece);
    child.on("exit", (code) => resolve({ code, output }));
  });
}

/** Operators' commands against a deployment, with files of its own. */
export class Operator {
  readonly #deployment: SmallDeployment;
  readonly #settings: string;

  constructor(deployment: SmallDeployment) {
    this.#deployment = deployment;
    this.#settings = deployment.fleet.writeToml("operator.toml", {
      entries: deployment.entries.map((entry) => entry.peers),
      platform: { logService: deployment.logUrl },
    });
  }

  /**
   * Publishes the deployment's content with states of endpoints changed, on
   * whatever is in force unless the extra words name a base.
   */
  publish(
    states: Readonly<Record<string, string>>,
    extra: readonly string[] = ["--base", "latest"],
  ): Promise<CommandEnd> {
    const { inventory, rules } = this.#deployment.content(states) as Record<
      "inventory" | "rules",
      Record<string, unknown>
    >;
    const { fleet } = this.#deployment;
    const name = Object.entries(states).flat().join("-");
    return this.run("publish", [
      "--inventory",
      fleet.writeToml(`inventory-${name}.toml`, inventory),
      "--rules",
      fleet.writeToml(`rules-${name}.toml`, rules),
      "--json",
      ...extra,
    ]);
  }

  run(
    command: string,
    words: readonly string[] = [],
  ): Promise<CommandEnd> {
    return runCommand([command, "--settings", this.#settings, ...words]);
  }
}
