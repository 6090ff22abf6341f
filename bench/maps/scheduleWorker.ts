import { parentPort, workerData } from 'node:worker_threads'
import { countSchedules, type ScheduleRange } from './faultSchedule.js'

parentPort?.postMessage(countSchedules(workerData as ScheduleRange))
