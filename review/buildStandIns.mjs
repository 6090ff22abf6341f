// Bundles the project's own stand-ins of the platform's store and of a worker, so that plain Node can run them.
import { build } from 'esbuild'

await build({
  entryPoints: { storeStandIn: 'platform/standIns/storeStandIn.ts', workerStandIn: 'platform/standIns/workerStandIn.ts' },
  outdir: 'target/review',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning'
})
