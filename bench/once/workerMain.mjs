// Worker threads do not inherit the parent's TypeScript loader, so this module registers one.
import { register } from 'node:module'

register('./typescriptLoader.mjs', import.meta.url)
await import('./scheduleWorker.ts')
