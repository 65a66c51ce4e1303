import { readdirSync, readFileSync } from "node:fs";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import process from "node:process";

const NANOSECONDS_PER_SECOND = 1e9;

/** Resource usage of a process since its start, as counted by the kernel. */
export interface ProcessStats {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Bytes read and written by system calls, nearly all of them on sockets. */
  readonly bytes: number;
}

export function readProcess(pid: number): ProcessStats {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const io = readFileSync(`/proc/${pid}/io`, "utf8");
  return {
    cpuSeconds: readCpuSeconds(pid),
    residentBytes: 1024 * numberAfter(status, "VmRSS:"),
    bytes: numberAfter(io, "rchar:") + numberAfter(io, "wchar:"),
  };
}

/** Sums `schedstat` over all threads; it has nanoseconds, `stat` only ticks. */
function readCpuSeconds(pid: number): number {
  const folder = `/proc/${pid}/task`;
  let nanoseconds = 0;
  for (const thread of readdirSync(folder)) {
    const text = readFileSync(`${folder}/${thread}/schedstat`, "utf8");
    nanoseconds += Number(text.split(" ")[0]);
  }
  return nanoseconds / NANOSECONDS_PER_SECOND;
}

/** Resource usage of a process over an interval. */
export interface ProcessRates {
  /** Fraction of one core. */
  readonly cpuShare: number;
  readonly bytesPerSecond: number;
  /** At the end of the interval. */
  readonly residentBytes: number;
}

export async function measureProcess(
  pid: number,
  milliseconds: number,
): Promise<ProcessRates> {
  const start = performance.now();
  const before = readProcess(pid);
  await realTimeSleep(milliseconds);
  const after = readProcess(pid);
  const seconds = (performance.now() - start) / 1000;
  return {
    cpuShare: (after.cpuSeconds - before.cpuSeconds) /
      seconds,
    bytesPerSecond: (after.bytes - before.bytes) / seconds,
    residentBytes: after.residentBytes,
  };
}

/**
 * Bytes of live objects in this process. Runs three garbage collections in
 * separate turns of the event loop, because one leaves objects that the current
 * turn still references.
 */
export async function liveHeapBytes(): Promise<number> {
  setFlagsFromString("--expose-gc");
  const collect: () => void = runInNewContext("gc");
  for (let turn = 0; turn < 3; turn += 1) {
    collect();
    await realTimeSleep(5);
  }
  return process.memoryUsage().heapUsed;
}

export function realTimeSleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function numberAfter(text: string, label: string): number {
  const match = text.match(new RegExp(`${label}\\s+(\\d+)`));
  return Number(match?.[1] ?? 0);
}
