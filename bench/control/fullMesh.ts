import { encode } from 'cbor-x'
import { createRandom } from '../../src/core/index.js'
import { DATAGRAM_HEADER_BYTES } from '../../src/membership/index.js'
import { createEventQueue, createFakeNetwork, type NetworkFaults, percentile } from '../harness/index.js'
import { agentCountFor } from './sizes.js'

const HEARTBEAT_MS = 1_000
/** Time without a heartbeat after which a member is suspected. */
const HEARTBEAT_TIMEOUT_MS = 3_000
const RUN_MS = 20_000

export interface MeshFigures {
  bytesPerSPerNode: number
  cpuShare: number
  detectionP99S: number
  falseSuspicions: number
}

/**
 * Measures naive membership as a baseline: every entry and agent sends a heartbeat to every entry each second.
 * One entry is killed halfway through.
 */
export const measureFullMesh = (seed: number, entryCount: number, faults: NetworkFaults): MeshFigures => {
  const queue = createEventQueue()
  const random = createRandom(seed)
  const network = createFakeNetwork<number>(queue, random, faults)
  const agentCount = agentCountFor(entryCount)
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
  let encodingMs = 0

  for (let i = 0; i < entryCount; i++) {
    network.join(String(i), sender => {
      lastHeardMs[i]![sender] = queue.clock.nowMs()
      suspected[i]!.delete(sender)
    })
    queue.every(HEARTBEAT_MS / 5, () => {
      const nowMs = queue.clock.nowMs()
      lastHeardMs[i]!.forEach((heardMs, sender) => {
        if (sender === i || nowMs - heardMs < HEARTBEAT_TIMEOUT_MS || suspected[i]!.has(sender)) return
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
        const startedMs = performance.now()
        const bytes = heartbeatOf(sender).length + DATAGRAM_HEADER_BYTES
        encodingMs += performance.now() - startedMs
        if (sender < entryCount) sentBytes += bytes
        network.send(String(sender), String(to), sender)
      }
    }))
  }
  queue.runUntil(RUN_MS)
  const seconds = RUN_MS / 1_000
  return {
    // An entry sends a heartbeat to every other entry and receives one of the same size from every other
    // entry and agent.
    bytesPerSPerNode: sentBytes / entryCount / seconds * (1 + (senderCount - 1) / (entryCount - 1)),
    cpuShare: encodingMs / senderCount / RUN_MS,
    detectionP99S: percentile(detectedS, 0.99),
    falseSuspicions
  }
}
