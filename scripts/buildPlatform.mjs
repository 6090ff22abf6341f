// Bundles the programs of the platform into target/, one file each.
import { build } from 'esbuild'

/** CommonJS libraries inside the bundle load Node's own modules through `require`. */
const REQUIRE_BANNER = "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);"

await build({
  entryPoints: { agent: 'platform/agent.ts', entry: 'platform/entry.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: REQUIRE_BANNER },
  minifySyntax: true,
  logLevel: 'warning'
})
