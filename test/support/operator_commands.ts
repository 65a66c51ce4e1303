import { spawn } from "node:child_process";
import { builtBinary } from "./built_binary.ts";
import type { SmallDeployment } from "./small_deployment.ts";

/** Exit code and combined output of a command. */
export interface CommandResult {
  readonly code: number | null;
  readonly output: string;
}

/** Runs a command of the binary and resolves when it exits. */
export function runCommand(args: readonly string[]): Promise<CommandResult> {
  return new Promise((resolve) => {
    const child = spawn(builtBinary(), args, { timeout: 30_000 });
    let output = "";
    child.stdout.on("data", (chunk) => output += chunk);
    child.stderr.on("data", (chunk) => output += chunk);
    child.on("exit", (code) => resolve({ code, output }));
  });
}

/** Runs operator commands against a deployment with its own settings file. */
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
   * Publishes the deployment's content with the given endpoint states. The base
   * is the latest version unless `extraArgs` name one.
   */
  publish(
    states: Readonly<Record<string, string>>,
    extraArgs: readonly string[] = ["--base", "latest"],
  ): Promise<CommandResult> {
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
      ...extraArgs,
    ]);
  }

  run(
    command: string,
    args: readonly string[] = [],
  ): Promise<CommandResult> {
    return runCommand([command, "--settings", this.#settings, ...args]);
  }
}
