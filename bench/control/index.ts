import type { Suite } from '../harness/index.js'
import { run as runGossip } from './gossip.js'
import { run as runSchedules } from './schedules.js'

/** Agreement on the log, then what membership and configuration cost. */
export const run: Suite = async options => [...await runSchedules(options), ...await runGossip(options)]
