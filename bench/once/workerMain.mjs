// A worker thread does not inherit the TypeScript loader of its parent, so it registers its own.
import { register } from 'tsx/esm/api'

register()
await import('./scheduleWorker.ts')
