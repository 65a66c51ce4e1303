import type {
  Inventory,
  InventoryEndpoint,
  Pool,
  Route,
} from "../../generated/inventory.ts";
import type { ClassMatch, Rules } from "../../generated/rules.ts";
import {
  validateInventory,
  validateRules,
  type ValidationProblem,
  type Validator,
} from "../../generated/validators.js";

/** What operators publish. */
export interface ConfigurationContent {
  readonly inventory: Inventory;
  readonly rules: Rules;
}

/** Something in a configuration that keeps it from being accepted. */
export interface ConfigurationProblem {
  /** Place in the content, such as `/inventory/pools/0/endpoints/2/id`. */
  readonly path: string;
  readonly found: string;
  readonly expected: string;
}

/** Reads content that may be anything; gives every problem that it finds. */
export function checkConfiguration(
  content: unknown,
): readonly ConfigurationProblem[] {
  const { inventory, rules } = (content ?? {}) as Record<string, unknown>;
  const shape = [
    ...checkShape(inventory, {
      path: "/inventory",
      validate: validateInventory,
    }),
    ...checkShape(rules, { path: "/rules", validate: validateRules }),
  ];
  if (shape.length > 0) return shape;
  const checked = { inventory, rules } as ConfigurationContent;
  return [...checkInventory(checked.inventory), ...checkRules(checked)];
}

function checkShape(
  value: unknown,
  options: { path: string; validate: Validator },
): ConfigurationProblem[] {
  if (value === undefined) {
    return [problem(options.path, { found: undefined, expected: "a table" })];
  }
  if (options.validate(value)) return [];
  return (options.validate.errors ?? []).map((error) => ({
    path: options.path + error.instancePath,
    found: describe(valueAt(value, error.instancePath)),
    expected: expectation(error),
  }));
}

function expectation(error: ValidationProblem): string {
  const extra = error.params.additionalProperty ?? error.params.allowedValues;
  const message = error.message ?? error.keyword;
  return extra === undefined ? message : `${message}: ${describe(extra)}`;
}

function checkInventory(inventory: Inventory): ConfigurationProblem[] {
  const zones = new Set<string>(inventory.availabilityZones);
  const problems = [
    ...duplicates(inventory.availabilityZones, {
      path: (index) => `/inventory/availabilityZones/${index}`,
      what: "availability zone",
    }),
    ...duplicates(inventory.pools.map((pool) => pool.name), {
      path: (index) => `/inventory/pools/${index}/name`,
      what: "pool name",
    }),
    ...checkRepeatedEndpoints(inventory),
    ...checkRepeatedModels(inventory),
    ...checkRoutes(inventory),
  ];
  inventory.pools.forEach((pool, index) => {
    problems.push(
      ...checkPool(pool, { path: `/inventory/pools/${index}`, zones }),
    );
  });
  return problems;
}

function checkPool(
  pool: Pool,
  options: { path: string; zones: ReadonlySet<string> },
): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  const { path } = options;
  if (pool.kind === "engine" && (pool.models ?? []).length === 0) {
    problems.push(problem(`${path}/models`, {
      found: pool.models,
      expected: "at least one model for a pool of engines",
    }));
  }
  if (pool.kind === "engine" && pool.engine === undefined) {
    problems.push(problem(`${path}/engine`, {
      found: undefined,
      expected: "the characteristics of the pool's engines",
    }));
  }
  if (pool.kind === "engine" && pool.routes !== undefined) {
    problems.push(problem(`${path}/routes`, {
      found: pool.routes,
      expected: "no routes for a pool of engines",
    }));
  }
  if (pool.kind === "service" && (pool.routes ?? []).length === 0) {
    problems.push(problem(`${path}/routes`, {
      found: pool.routes,
      expected: "at least one route for a pool of plain services",
    }));
  }
  pool.endpoints.forEach((endpoint, index) => {
    problems.push(...checkEndpoint(endpoint, {
      path: `${path}/endpoints/${index}`,
      zones: options.zones,
      kind: pool.kind,
    }));
  });
  return problems;
}

function checkEndpoint(
  endpoint: InventoryEndpoint,
  options: { path: string; zones: ReadonlySet<string>; kind: Pool["kind"] },
): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  if (!options.zones.has(endpoint.availabilityZone)) {
    problems.push(problem(`${options.path}/availabilityZone`, {
      found: endpoint.availabilityZone,
      expected: `one of ${[...options.zones].join(", ")}`,
    }));
  }
  if (options.kind === "service" && endpoint.role !== undefined) {
    problems.push(problem(`${options.path}/role`, {
      found: endpoint.role,
      expected: "no role for a plain service",
    }));
  }
  return problems;
}

function checkRepeatedEndpoints(inventory: Inventory): ConfigurationProblem[] {
  const places = inventory.pools.flatMap((pool, poolIndex) =>
    pool.endpoints.map((endpoint, index) => ({
      endpoint,
      path: `/inventory/pools/${poolIndex}/endpoints/${index}`,
    }))
  );
  return [
    ...duplicates(places.map(({ endpoint }) => endpoint.id), {
      path: (index) => `${places[index].path}/id`,
      what: "endpoint id",
    }),
    ...duplicates(places.map(({ endpoint }) => endpoint.side), {
      path: (index) => `${places[index].path}/side`,
      what: "address of a side process",
    }),
  ];
}

/** A model in two pools would leave it open which engines answer for it. */
function checkRepeatedModels(inventory: Inventory): ConfigurationProblem[] {
  const places = inventory.pools.flatMap((pool, poolIndex) =>
    (pool.models ?? []).map((model, index) => ({
      model,
      path: `/inventory/pools/${poolIndex}/models/${index}`,
    }))
  );
  return duplicates(places.map(({ model }) => model), {
    path: (index) => places[index].path,
    what: "model",
  });
}

function checkRoutes(inventory: Inventory): ConfigurationProblem[] {
  const places = inventory.pools.flatMap((pool, poolIndex) =>
    (pool.routes ?? []).map((route, index) => ({
      key: routeKey(route),
      path: `/inventory/pools/${poolIndex}/routes/${index}`,
    }))
  );
  return duplicates(places.map(({ key }) => key), {
    path: (index) => places[index].path,
    what: "route",
  });
}

function routeKey(route: Route): string {
  const path = route.path.replace(/\/+$/, "");
  return `${route.method} ${path === "" ? "/" : path}`;
}

function checkRules(content: ConfigurationContent): ConfigurationProblem[] {
  const { rules } = content;
  const classes = new Set(rules.classes.map((entry) => entry.name));
  const problems = duplicates(rules.classes.map((entry) => entry.name), {
    path: (index) => `/rules/classes/${index}/name`,
    what: "class name",
  });
  const expected = `one of ${[...classes].join(", ")}`;
  if (!classes.has(rules.defaultClass)) {
    problems.push(problem("/rules/defaultClass", {
      found: rules.defaultClass,
      expected,
    }));
  }
  problems.push(...checkShares(rules));
  (rules.matches ?? []).forEach((match, index) => {
    problems.push(...checkMatch(match, {
      path: `/rules/matches/${index}`,
      classes,
      models: modelsOf(content.inventory),
    }));
  });
  return problems;
}

/** Sums of shares such as 0.1 + 0.2 + 0.7 differ from 1 by less than this. */
const SHARE_ROUNDING = 1e-9;

function checkShares(rules: Rules): ConfigurationProblem[] {
  const shares = rules.classes.map((entry) => entry.share ?? 0);
  const total = shares.reduce((sum, share) => sum + share, 0);
  if (total <= 1 + SHARE_ROUNDING) return [];
  return [problem("/rules/classes", {
    found: `shares that add up to ${total}`,
    expected: "shares that add up to 1 at most",
  })];
}

function checkMatch(
  match: ClassMatch,
  options: {
    path: string;
    classes: ReadonlySet<string>;
    models: ReadonlySet<string>;
  },
): ConfigurationProblem[] {
  const problems: ConfigurationProblem[] = [];
  if (!options.classes.has(match.class)) {
    problems.push(problem(`${options.path}/class`, {
      found: match.class,
      expected: `one of ${[...options.classes].join(", ")}`,
    }));
  }
  if (match.model !== undefined && !options.models.has(match.model)) {
    problems.push(problem(`${options.path}/model`, {
      found: match.model,
      expected: `one of ${[...options.models].join(", ")}`,
    }));
  }
  if (match.headerValue !== undefined && match.headerName === undefined) {
    problems.push(problem(`${options.path}/headerName`, {
      found: undefined,
      expected: "the name of the header whose value is matched",
    }));
  }
  return problems;
}

function modelsOf(inventory: Inventory): ReadonlySet<string> {
  return new Set(inventory.pools.flatMap((pool) => pool.models ?? []));
}

function duplicates(
  values: readonly string[],
  options: { path: (index: number) => string; what: string },
): ConfigurationProblem[] {
  const seen = new Set<string>();
  const problems: ConfigurationProblem[] = [];
  values.forEach((value, index) => {
    if (seen.has(value)) {
      problems.push(problem(options.path(index), {
        found: value,
        expected: `a ${options.what} that is used once`,
      }));
    }
    seen.add(value);
  });
  return problems;
}

function problem(
  path: string,
  options: { found: unknown; expected: string },
): ConfigurationProblem {
  return { path, found: describe(options.found), expected: options.expected };
}

function describe(value: unknown): string {
  if (value === undefined) return "nothing";
  if (typeof value === "string") return value;
  return JSON.stringify(value);
}

function valueAt(value: unknown, path: string): unknown {
  let current = value;
  for (const part of path.split("/").slice(1)) {
    if (typeof current !== "object" || current === null) return undefined;
    const name = part.replaceAll("~1", "/").replaceAll("~0", "~");
    current = (current as Record<string, unknown>)[name];
  }
  return current;
}
