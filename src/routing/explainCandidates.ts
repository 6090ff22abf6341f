import type { ResultCode } from '../core/index.js'
import { type Worker, WorkerState } from '../membership/index.js'
import type { CapacityEstimate } from '../upstreamCapacity/index.js'
import { WorkerPermission } from '../workerLimits/index.js'
import { type Candidate, type RankOptions, toCandidate } from './rankWorkers.js'

/** Why a worker does not get a request now. */
export enum LeftOutReason {
  /** Its failure domain is evacuated. */
  Evacuated = 'evacuated',
  Draining = 'draining',
  /** Its registration is missing while others serve, or another worker has taken its address. */
  NotServing = 'not-serving',
  /** It has turned a request away and wants none for now. */
  Paused = 'paused',
  /** It names a limit, and this entry has no permit for it. */
  Limited = 'limited',
  /** It warms up: this entry has no permit for it, or it would be better only if it were warm. */
  Cold = 'cold',
  /** It has as many bytes of requests in flight from this entry as one worker may have. */
  BytesFull = 'bytes-full',
  AlreadyTried = 'already-tried',
  /** It lost a request a moment ago, or could not be reached. */
  LostRequest = 'lost-request',
  /** Its agent reports a slowdown factor, and others are healthy. */
  SlowRank = 'slow-rank',
  /** It has all the requests that its slots allow. */
  Full = 'full',
  /** Others have room within their learned capacity, and it has none. */
  BeyondCapacity = 'beyond-learned-capacity',
  HigherLoad = 'higher-load',
  /** It is as good or better, but in another zone, and not by enough. */
  OtherZone = 'other-zone',
  /** Another worker with the same load over capacity was drawn. */
  Tie = 'tie',
  ServiceLimit = 'service-limit'
}

export interface CandidateExplanation {
  workerId: string
  zone: string
  /** Requests in flight from all entries. */
  load: number
  slots: number
  /** Learned capacity and relative speed; absent while the workers of the service do not differ. */
  learned?: Pick<CapacityEstimate, 'capacity' | 'speed'>
  permission: WorkerPermission
  slowdownFactor: number
  isCold: boolean
  isChosen: boolean
  leftOut?: LeftOutReason
}

/** Where a request would go now, and why. */
export interface PlacementExplanation {
  service: string
  /** Result with which the request would be refused, now or after a wait; Ok if it would be sent. */
  code: ResultCode
  /** Requests in flight in the service, and the limit on them if there is one. */
  running: number
  serviceLimit: number | undefined
  chosenWorkerId: string | undefined
  /** Whether the request would go beyond an estimate, to find out whether it still holds. */
  isTrial: boolean
  candidates: CandidateExplanation[]
}

export interface ExplainOptions {
  service: string
  code: ResultCode
  ownZone: string
  running: number
  serviceLimit: number | undefined
  chosen: Candidate | undefined
  known: readonly Worker[]
  usableIds: ReadonlySet<string>
  triedWorkerIds: readonly string[]
  healthyIds: ReadonlySet<string>
  rank: RankOptions
  permissionOf: (worker: Worker) => WorkerPermission
  isEvacuated: (zone: string) => boolean
  hasRoom: (worker: Worker) => boolean
  avoidedForMs: (workerId: string) => number
}

const REASON_OF_PERMISSION: Record<WorkerPermission, LeftOutReason | undefined> = {
  [WorkerPermission.Unlimited]: undefined,
  [WorkerPermission.Permitted]: undefined,
  [WorkerPermission.Askable]: LeftOutReason.Limited,
  [WorkerPermission.Asked]: LeftOutReason.Limited,
  [WorkerPermission.Denied]: LeftOutReason.Limited,
  [WorkerPermission.Paused]: LeftOutReason.Paused
}

/** Reasons that hold whatever the load, in the order in which the placement applies them. */
const findRule = (worker: Worker, options: ExplainOptions): LeftOutReason | undefined => {
  const { usableIds, triedWorkerIds, healthyIds, rank, permissionOf, isEvacuated, hasRoom, avoidedForMs } = options
  const { workerId, zone, state } = worker
  if (isEvacuated(zone)) return LeftOutReason.Evacuated
  if (state === WorkerState.Draining) return LeftOutReason.Draining
  if (!usableIds.has(workerId)) return LeftOutReason.NotServing
  const byPermission = REASON_OF_PERMISSION[permissionOf(worker)]
  if (byPermission === LeftOutReason.Limited && rank.isCold(worker)) return LeftOutReason.Cold
  if (byPermission !== undefined) return byPermission
  if (!hasRoom(worker)) return LeftOutReason.BytesFull
  if (healthyIds.has(workerId)) return undefined
  if (triedWorkerIds.includes(workerId)) return LeftOutReason.AlreadyTried
  return avoidedForMs(workerId) > 0 ? LeftOutReason.LostRequest : LeftOutReason.SlowRank
}

const wouldWinIfWarm = (worker: Worker, rank: RankOptions, chosen: Candidate): boolean =>
  rank.isCold(worker) && toCandidate(worker, { ...rank, isCold: () => false }).share <= chosen.share

/** Why a worker that may be sent the request was not the best choice. */
const findLoadReason = (worker: Worker, { rank, chosen, ownZone }: ExplainOptions): LeftOutReason => {
  const candidate = toCandidate(worker, rank)
  if (candidate.isFull) return LeftOutReason.Full
  if (chosen === undefined) return LeftOutReason.ServiceLimit
  if (chosen.isWithinCapacity && !candidate.isWithinCapacity) return LeftOutReason.BeyondCapacity
  if (candidate.share > chosen.share) return wouldWinIfWarm(worker, rank, chosen) ? LeftOutReason.Cold : LeftOutReason.HigherLoad
  if (worker.zone !== ownZone && chosen.worker.zone === ownZone) return LeftOutReason.OtherZone
  return candidate.share < chosen.share ? LeftOutReason.HigherLoad : LeftOutReason.Tie
}

/**
 * Explains a choice by its candidates.
 *
 * @example
 * explainCandidates({ service: 'booking', chosen, known, ... }).candidates[0]?.leftOut // 'draining'
 */
export const explainCandidates = (options: ExplainOptions): PlacementExplanation => {
  const { service, code, running, serviceLimit, chosen, known, permissionOf, rank } = options
  const candidates = known.map(worker => {
    const { workerId, zone, slots } = worker
    const estimate = rank.estimates?.get(workerId)
    const isChosen = chosen?.worker.workerId === workerId
    const leftOut = isChosen ? undefined : findRule(worker, options) ?? findLoadReason(worker, options)
    return {
      workerId,
      zone,
      load: rank.loadOf(workerId),
      slots,
      ...(estimate === undefined ? {} : { learned: { capacity: estimate.capacity, speed: estimate.speed } }),
      permission: permissionOf(worker),
      slowdownFactor: rank.slowdownOf(workerId),
      isCold: rank.isCold(worker),
      isChosen,
      ...(leftOut === undefined ? {} : { leftOut })
    }
  })
  return { service, code, running, serviceLimit, chosenWorkerId: chosen?.worker.workerId, isTrial: chosen?.isTrial ?? false, candidates }
}
