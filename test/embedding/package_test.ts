import { expect } from "chai";
import { execFileSync } from "node:child_process";
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import { builtBinary } from "../support/built_binary.ts";

const TIMEOUT_MILLISECONDS = 120_000;

/** Compiler options of an embedder's project, without path aliases. */
const EXAMPLE_COMPILER_OPTIONS = {
  target: "ES2022",
  module: "NodeNext",
  lib: ["ES2023"],
  types: ["node"],
  strict: true,
  verbatimModuleSyntax: true,
  allowImportingTsExtensions: true,
  noEmit: true,
};

/** Packs the package and unpacks it into a project, as `npm install` does. */
function installPacked(folder: string): string {
  run(["--import", "tsx", "scripts/build_library.ts"], ".");
  builtBinary();
  execFileSync("npm", [
    "pack",
    "--ignore-scripts",
    "--pack-destination",
    folder,
  ], { stdio: ["ignore", "pipe", "pipe"] });
  const archive = readdirSync(folder).find((name) => name.endsWith(".tgz"));
  const packages = join(folder, "node_modules");
  mkdirSync(join(packages, "filbertshore"), { recursive: true });
  const installed = join(packages, "filbertshore");
  execFileSync("tar", [
    "-xzf",
    join(folder, archive ?? ""),
    "--strip-components=1",
    "-C",
    installed,
  ]);
  linkDependencies(packages, installed);
  return installed;
}

/** Links the package's dependencies from this checkout's `node_modules`. */
function linkDependencies(packages: string, installed: string): void {
  const manifest = JSON.parse(
    readFileSync(join(installed, "package.json"), "utf8"),
  );
  mkdirSync(join(packages, "@types"));
  for (const name of [...Object.keys(manifest.dependencies), "@types/node"]) {
    mkdirSync(join(packages, name, ".."), { recursive: true });
    symlinkSync(resolve("node_modules", name), join(packages, name));
  }
}

function run(args: readonly string[], folder: string): string {
  return execFileSync(process.execPath, args, {
    cwd: folder,
    encoding: "utf8",
  });
}

describe("packed package", () => {
  let folder: string;
  let installed: string;

  before(function () {
    this.timeout(TIMEOUT_MILLISECONDS);
    folder = mkdtempSync(join(tmpdir(), "filbertshore-package-"));
    installed = installPacked(folder);
    cpSync("examples/embedding", join(folder, "example"), { recursive: true });
    writeFileSync(join(folder, "package.json"), '{"type":"module"}');
    writeFileSync(
      join(folder, "tsconfig.json"),
      JSON.stringify({
        compilerOptions: EXAMPLE_COMPILER_OPTIONS,
        include: ["example"],
      }),
    );
  });

  after(() => rmSync(folder, { recursive: true }));

  it("contains every file that its manifest names", () => {
    const manifest = JSON.parse(
      readFileSync(join(installed, "package.json"), "utf8"),
    );
    const rootExport = manifest.exports["."];
    const named = [
      rootExport.types,
      rootExport.default,
      manifest.bin.filbertshore,
    ];
    for (const file of named) {
      expect(readFileSync(join(installed, file)).length).to.be.greaterThan(0);
    }
  });

  it("contains every file that its types refer to", () => {
    const types = join(installed, "dist/types");
    const files = readdirSync(types, { recursive: true, encoding: "utf8" });
    const present = new Set(files.map((name) => join(types, name)));
    for (const name of files.filter((each) => each.endsWith(".d.ts"))) {
      const text = readFileSync(join(types, name), "utf8");
      for (const [, target] of text.matchAll(/from "(\.[^"]+)\.ts"/g)) {
        const declarationFile = join(types, name, "..", `${target}.d.ts`);
        expect(present.has(declarationFile), `${name} refers to ${target}`).to
          .equal(
            true,
          );
      }
    }
  });

  it("provides the types of the example", function () {
    this.timeout(TIMEOUT_MILLISECONDS);
    run([resolve("node_modules/typescript/bin/tsc"), "--project", "."], folder);
  });

  it("runs the example", function () {
    this.timeout(TIMEOUT_MILLISECONDS);
    const tsx = resolve("node_modules/tsx/dist/loader.mjs");
    const output = run(["--import", tsx, "example/main.ts", "3"], folder);
    const { answered, requests } = JSON.parse(output);
    expect(answered).to.equal(requests);
  });
});
