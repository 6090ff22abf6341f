import type { Suite } from '../harness/index.js'
import { measureAppendFigures } from '../once/appendFigures.js'
import { run as runGossip } from './gossip.js'
import { run as runSchedules } from './schedules.js'

/** Agreement on the log and its appends, then what membership and configuration cost. */
export const run: Suite = async options => [
  ...await runSchedules(options), ...measureAppendFigures('control', options.seed), ...await runGossip(options)
]
