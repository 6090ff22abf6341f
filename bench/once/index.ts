import type { Suite } from '../harness/index.js'
import { run as runQuarantine } from './quarantine.js'
import { run as runSchedules } from './schedules.js'

/** Calls that run at most once, then requests that crash upstreams. */
export const run: Suite = async options => [...await runSchedules(options), ...await runQuarantine(options)]
