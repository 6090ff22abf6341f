import type { HandlerTable, LogPosition } from '../../core/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { type FleetReport, PeerEffectKind, type PeerEvent } from '../../peers/index.js'
import type { CrashReport } from '../../quarantine/index.js'
import { type WorkerLimitsMessage, WorkerLimitsMessageKind } from '../../workerLimits/index.js'

export interface PeerEventOptions {
  log: EventLog
  observePositions: (positions: Record<string, LogPosition>) => void
  adoptCrashes: (report: CrashReport) => void
  postWorkerLimits: (message: WorkerLimitsMessage) => void
  recordSlowdown: (workerId: string, pace: number) => void
  /** Called when waiting requests may be placed, as the load of the other entries has changed. */
  retryWaitingRequests: () => void
}

/**
 * Creates the handlers that pass on to the other parts of an entry what its peers report.
 *
 * @example
 * dispatch(createPeerEventHandlers({ ... }), event)
 */
export const createPeerEventHandlers = (
  { log, observePositions, adoptCrashes, postWorkerLimits, recordSlowdown, retryWaitingRequests }: PeerEventOptions
): HandlerTable<PeerEvent, void> => {
  /** Ages in a report hold only when it arrives, so they are not adopted again with later reports of load. */
  const adoptReport = ({ storePositions, crashes, workerLimits }: FleetReport, isComplete: boolean) => {
    observePositions(storePositions)
    if (isComplete) {
      adoptCrashes(crashes)
      postWorkerLimits({ kind: WorkerLimitsMessageKind.LimitsReported, limits: workerLimits })
    }
    retryWaitingRequests()
  }

  return {
    [PeerEffectKind.PeerLost]: ({ nodeId, address }) => {
      log(LogEvent.PeerLost, { nodeId, address })
      retryWaitingRequests()
    },
    [PeerEffectKind.PeerUpdated]: ({ report, isNew, isComplete }) => {
      if (isNew) log(LogEvent.PeerFound, { nodeId: report.nodeId, incarnation: report.incarnation })
      adoptReport(report, isComplete)
    },
    [PeerEffectKind.ZoneUpdated]: ({ summary, isNew, isComplete }) => {
      if (isNew) log(LogEvent.ZoneFound, { zone: summary.zone, entries: summary.entries.length, relay: summary.relayAddress })
      adoptReport(summary, isComplete)
    },
    [PeerEffectKind.ZoneLost]: ({ zone }) => {
      log(LogEvent.ZoneLost, { zone })
      retryWaitingRequests()
    },
    [PeerEffectKind.SlowdownReported]: ({ workerId, pace }) => recordSlowdown(workerId, pace),
    [PeerEffectKind.PermitsRequested]: ({ request, fromAddress }) =>
      postWorkerLimits({ kind: WorkerLimitsMessageKind.PermitsRequested, request, fromAddress }),
    [PeerEffectKind.PermitsAnswered]: ({ answer }) => postWorkerLimits({ kind: WorkerLimitsMessageKind.PermitsAnswered, answer })
  }
}
