import type { Suite } from '../harness/index.js'
import { startDeployment } from './deployment.js'
import { measureOrders, measureStreams } from './latency.js'
import { closeLoad } from './load.js'
import { measurePerCore } from './perCore.js'
import { measurePlatformStart } from './platformStart.js'

/**
 * Measures the latency, CPU time and start time that entry and agent cost, between processes on loopback
 * sockets.
 */
export const run: Suite = async ({ seed }) => {
  const platformStart = await measurePlatformStart(seed)
  const deployment = await startDeployment()
  try {
    return [
      ...platformStart,
      ...await measureStreams(deployment, seed),
      ...await measureOrders(deployment, seed),
      ...await measurePerCore(deployment, seed)
    ]
  } finally {
    await closeLoad()
    await deployment.stop()
  }
}
