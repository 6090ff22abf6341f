import type { Suite } from '../harness/index.js'
import { startDeployment } from './deployment.js'
import { measureOrders, measureStreams } from './latency.js'
import { closeLoad } from './load.js'
import { measurePerCore } from './perCore.js'
import { measurePlatformStart } from './platformStart.js'

/** Measures what entry and agent cost, with real sockets between processes on loopback. */
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
