/**
 * Generates the types and validators in `src/generated` from `src/schema`.
 * With `--check`, writes nothing and fails if a generated file is out of date.
 */
import { mkdirSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { Ajv } from "ajv";
import standaloneModule from "ajv/dist/standalone/index.js";
import { compile } from "json-schema-to-typescript";

const SCHEMA_FOLDER = "src/schema";
const GENERATED_FOLDER = "src/generated";
const BANNER = "Made by `npm run generate` from src/schema; do not edit.";

/**
 * Types that get a validator: those whose values come from outside the process.
 * Validators for all types would make the generated file 2.5 times as long.
 */
const VALIDATED_TYPES: ReadonlySet<string> = new Set([
  "AppendAnswer",
  "AttemptRequest",
  "ChatCompletionRequest",
  "EngineStatus",
  "EntrySettings",
  "Inventory",
  "LogReadAnswer",
  "OnceQuestion",
  "OperatorSettings",
  "RecordBody",
  "Rules",
  "SideSettings",
  "StatusQuestion",
  "VmListAnswer",
  "WatchQuestion",
  "WeightsAnswer",
]);

interface SchemaFile {
  readonly $id: string;
  readonly title: string;
  readonly definitions?: Record<string, unknown>;
}

function readSchemas(): { base: string; schema: SchemaFile }[] {
  return readdirSync(SCHEMA_FOLDER).filter((name) => name.endsWith(".json"))
    .sort().map((name) => ({
      base: name.replace(/\.json$/, ""),
      schema: JSON.parse(readFileSync(`${SCHEMA_FOLDER}/${name}`, "utf8")),
    }));
}

async function makeTypes(schema: SchemaFile): Promise<string> {
  const source = await compile(structuredClone(schema) as never, schema.title, {
    additionalProperties: false,
    bannerComment: `// ${BANNER}`,
    unreachableDefinitions: true,
    format: false,
  });
  return mergeNumberedTypes(source);
}

/**
 * Replaces numbered duplicates of a type. The generator emits a further type
 * (`Pool1`) for another reference to the same definition.
 */
function mergeNumberedTypes(source: string): string {
  const names = new Set(
    [...source.matchAll(/export (?:interface|type) (\w+)/g)].map((match) =>
      match[1]
    ),
  );
  const duplicates = [...names].filter((name) =>
    /\d$/.test(name) && names.has(name.replace(/\d+$/, ""))
  );
  let result = source;
  for (const duplicate of duplicates) {
    const declaration = new RegExp(
      `(?:/\\*\\*(?:(?!\\*/)[\\s\\S])*\\*/\\n)?export (?:interface ${duplicate} \\{[\\s\\S]*?\\n\\}|type ${duplicate} =[\\s\\S]*?(?=\\n(?:export|/\\*\\*)|$))\\n?`,
    );
    result = result.replace(declaration, "");
    result = result.replaceAll(
      new RegExp(`\\b${duplicate}\\b`, "g"),
      duplicate.replace(/\d+$/, ""),
    );
  }
  return result;
}

function makeValidators(schemas: SchemaFile[]): {
  code: string;
  declarations: string;
} {
  const ajv = new Ajv({
    code: { source: true, esm: true, lines: true },
    allErrors: true,
    inlineRefs: false,
    unicodeRegExp: false,
    strict: true,
    discriminator: false,
  } as never);
  const references: Record<string, string> = {};
  for (const schema of schemas) {
    ajv.addSchema(schema);
    for (
      const name of [schema.title, ...Object.keys(schema.definitions ?? {})]
    ) {
      if (!VALIDATED_TYPES.has(name)) continue;
      references[`validate${name}`] = name === schema.title
        ? schema.$id
        : `${schema.$id}#/definitions/${name}`;
    }
  }
  if (Object.keys(references).length !== VALIDATED_TYPES.size) {
    throw new TypeError("VALIDATED_TYPES names a type that no schema defines");
  }
  const standalone = standaloneModule as unknown as {
    default: (ajv: unknown, references: Record<string, string>) => string;
  };
  const code = `// ${BANNER}\n${standalone.default(ajv, references)}\n`;
  const lines = Object.keys(references).map((name) =>
    `export declare const ${name}: Validator;`
  );
  const declarations = `// ${BANNER}
/** A problem found in a value. */
export interface ValidationProblem {
  readonly instancePath: string;
  readonly message?: string;
  readonly keyword: string;
  readonly params: Readonly<Record<string, unknown>>;
}
/** Tells whether a value fits its schema; leaves the problems on itself. */
export interface Validator {
  (value: unknown): boolean;
  errors?: readonly ValidationProblem[] | null;
}
${lines.join("\n")}
`;
  return { code, declarations };
}

async function makeFiles(): Promise<Map<string, string>> {
  const files = new Map<string, string>();
  const schemas = readSchemas();
  for (const { base, schema } of schemas) {
    files.set(`${GENERATED_FOLDER}/${base}.ts`, await makeTypes(schema));
  }
  const validators = makeValidators(schemas.map((each) => each.schema));
  files.set(`${GENERATED_FOLDER}/validators.js`, validators.code);
  files.set(`${GENERATED_FOLDER}/validators.d.ts`, validators.declarations);
  return files;
}

function staleFiles(files: Map<string, string>): string[] {
  return [...files].filter(([path, content]) => {
    try {
      return readFileSync(path, "utf8") !== content;
    } catch {
      return true;
    }
  }).map(([path]) => path);
}

const files = await makeFiles();
if (process.argv.includes("--check")) {
  const stale = staleFiles(files);
  for (const path of stale) {
    console.error(`${path} is out of date: run "npm run generate"`);
  }
  process.exit(stale.length === 0 ? 0 : 1);
}
mkdirSync(GENERATED_FOLDER, { recursive: true });
for (const [path, content] of files) writeFileSync(path, content);
