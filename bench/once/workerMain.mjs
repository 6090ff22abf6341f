// A worker thread does not inherit the TypeScript loader of its parent, so it registers its own.
import { register } from 'node:module'

register('./typescriptLoader.mjs', import.meta.url)
await import('./scheduleWorker.ts')
