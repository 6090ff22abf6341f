// Bundles each platform program into one file in target/.
import { build } from 'esbuild'

/** Bundled CommonJS libraries load Node's built-in modules through `require`, which ES modules lack. */
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
