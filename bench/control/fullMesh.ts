import { encode } from 'cbor-x'
import { createRandom } from '../../src/core/index.js'
import { DATAGRAM_HEADER_BYTES } from '../../src/membership/index.js'
import { createEventQueue, createFakeNetwork, type NetworkFaults, percentile } from '../harness/index.js'
import { agentsFor } from './sizes.js'

const HEARTBEAT_MS = 1_000
/** A member is suspected after this long without a heartbeat. */
const SILENCE_MS = 3_000
const RUN_MS = 20_000

export interface MeshFigures {
  bytesPerSPerNode: number
  cpuShare: number
  detectionP99S: number
  falseSuspicions: number
}

/**
 * The naive membership: every entry and agent sends a heartbeat to every entry each second. Half way
 * through, one entry is killed.
 */
export const measureFullMesh = (seed: number, entryCount: number, faults: NetworkFaults): MeshFigures => {
  const queue = createEventQueue()
  const random = createRandom(seed)
  const network = createFakeNetwork<number>(queue, random, faults)
  const agentCount = agentsFor(entryCount)
  const senderCount = entryCount + agentCount
  const heartbeatOf = (i: number) => encode({
    nodeId: `entry-${i}`, incarnation: '0123456789abcdef', freeCapacityRequests: 40, isDraining: false
  })
  const lastHeardMs = Array.from({ length: entryCount }, () => new Float64Array(senderCount))
  const suspected = Array.from({ length: entryCount }, () => new Set<number>())
  const detectedS: number[] = []
  const killedMs = RUN_MS / 2
  let falseSuspicions = 0
  let sentBytes = 0
  let workedMs = 0

  for (let i = 0; i < entryCount; i++) {
    network.join(String(i), sender => {
      lastHeardMs[i]![sender] = queue.clock.nowMs()
      suspected[i]!.delete(sender)
    })
    queue.every(HEARTBEAT_MS / 5, () => {
      const nowMs = queue.clock.nowMs()
      lastHeardMs[i]!.forEach((heardMs, sender) => {
        if (sender === i || nowMs - heardMs < SILENCE_MS || suspected[i]!.has(sender)) return
        suspected[i]!.add(sender)
        if (sender === 0 && nowMs > killedMs) detectedS.push((nowMs - killedMs) / 1_000)
        else falseSuspicions += 1
      })
    })
  }
  for (let sender = 0; sender < senderCount; sender++) {
    queue.after(random.int(0, HEARTBEAT_MS - 1), () => queue.every(HEARTBEAT_MS, () => {
      if (sender === 0 && queue.clock.nowMs() >= killedMs) return false
      for (let to = 0; to < entryCount; to++) {
        if (to === sender) continue
        const beganMs = performance.now()
        const bytes = heartbeatOf(sender).length + DATAGRAM_HEADER_BYTES
        workedMs += performance.now() - beganMs
        if (sender < entryCount) sentBytes += bytes
        network.send(String(sender), String(to), sender)
      }
    }))
  }
  queue.runUntil(RUN_MS)
  const seconds = RUN_MS / 1_000
  return {
    // An entry sends to every entry and gets the same from every entry and agent.
    bytesPerSPerNode: sentBytes / entryCount / seconds * (1 + (senderCount - 1) / (entryCount - 1)),
    cpuShare: workedMs / senderCount / RUN_MS,
    detectionP99S: percentile(detectedS, 0.99),
    falseSuspicions
  }
}
