import type { Suite } from '../harness/index.js'
import { run as runQuarantine } from './quarantine.js'
import { run as runSchedules } from './schedules.js'

/** Runs the schedules of at-most-once calls, then those of requests that crash upstreams. */
export const run: Suite = async options => [...await runSchedules(options), ...await runQuarantine(options)]
