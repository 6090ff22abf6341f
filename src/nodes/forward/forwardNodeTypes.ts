import type { Clock, Random } from '../../core/index.js'
import type { FleetRetryBudgetSettings } from '../../limits/index.js'
import type { EventLog } from '../../observe/index.js'
import type { PeerBinding } from '../../peers/index.js'
import type { WarmUpBounds } from '../../workerLimits/index.js'
import type { StorePort, StoreView } from '../storeView/index.js'
import type { OpenRequest } from './createRequestOpener.js'
import type { ForwardExplanation } from './explainForward.js'
import type { ForwardCounters } from './forwardCounters.js'
import type { LearnedCapacity } from './learnedCapacity.js'
import type { StopSchedule } from './plannedStop.js'
import type { CallerRequest, CallerSink, WorkerCodec } from './types.js'

export interface ForwardNodeOptions {
  nodeId: string
  zone: string
  frontAddress: string
  /** Held control address, for reports among entries and for the store's records. */
  peerBinding: PeerBinding
  seedAddresses: readonly string[]
  /** Capacity of this entry relative to the others, see `capacityOf`. */
  capacity: () => number
  retryBudget: () => FleetRetryBudgetSettings
  /** Time after open connections have fallen silent within which the store's records must be in force again, in ms. */
  silenceMaxMs: () => number
  /** Bounds of the requests to a cold worker; the strictest ones if it is not set. */
  warmUpBounds?: () => WarmUpBounds
  /** Time for which upstreams stall before they cut off work that cannot go on; undefined if they do not. */
  stallMs?: () => number | undefined
  /** Bytes of requests in flight from this entry to one worker. */
  upstreamBytesMax: number
  clock: Clock
  random: Random
  store: StorePort
  codec: WorkerCodec
  log: EventLog
  onConfiguration: (view: StoreView) => void
}

/** An entry that forwards requests directly to workers. */
export interface ForwardNode {
  /** Unique across all runs of all entries. */
  nextRequestId (): string
  /** Admits a request by its head, or refuses it through the sink and returns undefined. */
  open (caller: CallerRequest, sink: CallerSink): OpenRequest | undefined
  cancel (requestId: string): void
  /** Replaces the peer addresses through which this entry finds the others; they may be out of date. */
  setSeeds (addresses: readonly string[]): void
  /** Addresses of ready entries for callers in a zone; those of all zones if the zone has too few. */
  addressesFor (zone: string): string[]
  readonly isReady: boolean
  readonly isStopping: boolean
  /** Removes this entry from the addresses given to callers; it still serves requests that can end in time. */
  startStopping (schedule: StopSchedule): void
  /** Ends all requests in flight, as the process exits: callers whose responses have not begun are told so. */
  endRequests (): void
  readonly inFlightCount: number
  readonly counters: ForwardCounters
  readonly storeView: StoreView
  readonly openedConnections: number
  readonly livePeers: number
  /** Number of other entries that callers are sent to: they have reported recently that they are ready. */
  readonly readyPeers: number
  /** Messages that the full mailbox of the requests has rejected. */
  readonly rejectedMessages: number
  /** Number of traits, or groups of them, that requests are refused for. */
  readonly blockedTraits: number
  /** Number of workers that name a limit of requests per second. */
  readonly limitedWorkers: number
  /** Learned capacity of the upstreams of services whose upstreams differ. */
  upstreamCapacities (): ReturnType<LearnedCapacity['capacity']['all']>
  /** Where a request of a caller would go now, and why; nothing is sent. */
  explain (host: string, path: string, bodyBytes?: number): ForwardExplanation
  /** Number of workers that are cold. */
  readonly coldWorkers: number
  /** Share of the callers that this entry asks for, relative to the other entries: its capacity, less while it is loaded. */
  readonly weight: number
  streamLimits (): Record<string, number>
  stop (): void
}
