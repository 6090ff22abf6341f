import type { Suite } from '../harness/index.js'
import { measureAppendFigures } from '../once/appendFigures.js'
import { run as runGossip } from './gossip.js'
import { run as runSchedules } from './schedules.js'

/**
 * Checks agreement on log records, then measures the log's append rate and the cost of membership and
 * configuration.
 */
export const run: Suite = async options => [
  ...await runSchedules(options), ...measureAppendFigures('control', options.seed), ...await runGossip(options)
]
