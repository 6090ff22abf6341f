// A worker thread does not inherit the TypeScript loader of tsx, so it registers its own.
import { parentPort, workerData } from 'node:worker_threads'
import { register } from 'tsx/esm/api'

register()
const { runScheduleRange } = await import('./scheduleRange.ts')
parentPort.postMessage(runScheduleRange(workerData))
