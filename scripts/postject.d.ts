declare module "postject" {
  export function inject(
    executable: string,
    resource: string,
    content: Uint8Array,
    options: { sentinelFuse: string },
  ): Promise<void>;
}
