import type {
  Inventory,
  InventoryEndpoint,
  Pool,
  Route,
} from "../../generated/inventory.ts";
import { type ConfigurationProblem, duplicates, problem } from "./problem.ts";

/** Checks of an inventory that the schema can't express. */
export function checkInventory(inventory: Inventory): ConfigurationProblem[] {
  const zones = new Set<string>(inventory.availabilityZones);
  const problems = [
    ...duplicates(inventory.availabilityZones, {
      path: (index) => `/inventory/availabilityZones/${index}`,
      label: "availability zone",
    }),
    ...duplicates(inventory.pools.map((pool) => pool.name), {
      path: (index) => `/inventory/pools/${index}/name`,
      label: "pool name",
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
      label: "endpoint id",
    }),
    ...duplicates(places.map(({ endpoint }) => endpoint.side), {
      path: (index) => `${places[index].path}/side`,
      label: "address of a side process",
    }),
  ];
}

/**
 * Checks that each model is in one pool, since two pools would leave it
 * undefined which engines serve it.
 */
function checkRepeatedModels(inventory: Inventory): ConfigurationProblem[] {
  const places = inventory.pools.flatMap((pool, poolIndex) =>
    (pool.models ?? []).map((model, index) => ({
      model,
      path: `/inventory/pools/${poolIndex}/models/${index}`,
    }))
  );
  return duplicates(places.map(({ model }) => model), {
    path: (index) => places[index].path,
    label: "model",
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
    label: "route",
  });
}

function routeKey(route: Route): string {
  const path = route.path.replace(/\/+$/, "");
  return `${route.method} ${path === "" ? "/" : path}`;
}
