// Worker threads do not inherit the TypeScript loader of tsx, so this module registers one.
import { parentPort, workerData } from 'node:worker_threads'
import { register } from 'tsx/esm/api'

register()
const { runScheduleRange } = await import('./scheduleRange.ts')
parentPort.postMessage(runScheduleRange(workerData))
