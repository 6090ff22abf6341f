import { CONFIGURATION_STREAM } from '../../configuration/index.js'
import { createLog, FrameError, type HandlerTable } from '../../core/index.js'
import { type Frame, FrameKind, type LinkEvent, LinkEventKind, NodeRole, parseFrame, type PeerIdentity } from '../../links/index.js'
import { type Metrics, MetricName } from '../../observe/index.js'
import { LEASE_STREAM } from '../../orders/index.js'
import { cacheEventsFrameSchema, parseReportFrame } from '../../requests/index.js'
import type { AdmissionGate } from './admissionGate.js'
import type { ConfigurationFeed } from './configurationFeed.js'
import type { FleetView } from './fleetView.js'
import type { KeyedCalls } from './keyedCalls.js'
import type { MembershipHub } from './membershipHub.js'
import type { OwnerTask } from './ownerTask.js'
import type { PlacementTask } from './placementTask.js'
import type { PoolRouters } from './poolRouters.js'
import type { QuarantineGate } from './quarantineGate.js'
import type { RequestsTask } from './requestsTask.js'

const log = createLog('entry')

type FrameHandler = (peer: PeerIdentity, frame: Frame) => void
type FrameHandlers = Partial<Record<FrameKind, FrameHandler>>

export interface EntryLinkHandlersOptions {
  requests: RequestsTask
  keyedCalls: KeyedCalls
  owner: OwnerTask
  placement: PlacementTask
  feed: ConfigurationFeed
  admission: AdmissionGate
  quarantine: QuarantineGate
  routers: PoolRouters
  fleet: FleetView
  metrics: Metrics
  hub: () => MembershipHub | null
  onMapExplanation: (group: string, line: string) => void
}

/** Handler tables for the link events of one entry. */
export interface EntryLinkHandlers {
  /** Events of links that this entry opened to agents and other entries. */
  dialed: HandlerTable<LinkEvent, void>
  /** Events of links opened by other entries, and by agents that register with this entry. */
  accepted: HandlerTable<LinkEvent, void>
}

/** Creates the handler tables of one entry. */
export const createEntryLinkHandlers = ({
  requests, keyedCalls, owner, placement, feed, admission, quarantine, routers, fleet, metrics, hub, onMapExplanation
}: EntryLinkHandlersOptions): EntryLinkHandlers => {
  const streamOwners: Record<string, Pick<PlacementTask, 'onPeerStateRequest' | 'onPeerState'>> =
    { [CONFIGURATION_STREAM]: feed, [LEASE_STREAM]: placement }

  const onReport: FrameHandler = (peer, frame) => {
    const report = parseReportFrame(frame)
    if (report.isUp) routers.addAgent(peer)
    else routers.removeAgent(peer.nodeId)
    routers.recordReport(peer.nodeId, report)
  }

  const frameHandlers: FrameHandlers = {
    ...requests.frameHandlers,
    [FrameKind.Report]: onReport,
    [FrameKind.CacheEvents]: (peer, frame) => routers.recordCacheEvents(peer.nodeId, parseFrame(cacheEventsFrameSchema, frame)),
    [FrameKind.Drain]: peer => routers.setDraining(peer.nodeId),
    [FrameKind.PeerStateRequest]: (_peer, frame) => streamOwners[String(frame.stream)]?.onPeerStateRequest(frame),
    [FrameKind.PeerState]: (_peer, frame) => streamOwners[String(frame.stream)]?.onPeerState(frame),
    [FrameKind.EngineState]: (peer, frame) => placement.onEngineState(peer, frame),
    [FrameKind.FenceQuery]: peer => placement.onFenceQuery(peer),
    [FrameKind.MapExplanation]: (_peer, { group, line }) => onMapExplanation(String(group), String(line)),
    [FrameKind.Bind]: (_peer, frame) => owner.onBind(frame),
    [FrameKind.Bound]: (_peer, frame) => keyedCalls.onBound(frame),
    [FrameKind.KeyReply]: (peer, frame) => keyedCalls.onKeyReply(peer, frame),
    [FrameKind.LimitDemand]: (peer, frame) => admission.onLimitDemand(peer, frame),
    [FrameKind.LimitShare]: (_peer, frame) => admission.onLimitShare(frame),
    [FrameKind.Notice]: (peer, frame) => quarantine.onNotice(peer, frame),
    [FrameKind.StartedAlone]: (peer, frame) => quarantine.onStartedAlone(peer, frame)
  }

  /** An agent registers by opening a link; this entry then announces the agent in gossip. */
  const registrationHandlers: FrameHandlers = {
    [FrameKind.Drain]: ({ nodeId }) => hub()?.onAgentDraining(nodeId),
    [FrameKind.FenceQuery]: peer => placement.onFenceQuery(peer)
  }

  const handleFrame = (handlers: FrameHandlers, { link, peer, frame }: Extract<LinkEvent, { kind: LinkEventKind.Frame }>) => {
    try {
      handlers[frame.kind]?.(peer, frame)
    } catch (error) {
      if (!(error instanceof FrameError)) throw error
      log('closing the link to %s after an invalid frame: %s', peer.nodeId, error.message)
      link.close()
    }
  }

  return {
    dialed: {
      [LinkEventKind.Ready]: ({ peer }) => {
        if (peer.role !== NodeRole.Agent) return
        routers.addAgent(peer)
        fleet.sendRow(peer)
        placement.sendAssignment(peer)
        quarantine.onAgentLinked(peer)
        keyedCalls.onAgentLinked(peer)
        requests.onAgentLinked(peer)
      },
      [LinkEventKind.Frame]: event => handleFrame(frameHandlers, event),
      [LinkEventKind.Lost]: ({ peer }) => {
        metrics.record(MetricName.LinksLostTotal, 1)
        if (peer?.role !== NodeRole.Agent) return
        routers.removeAgent(peer.nodeId)
        quarantine.onAgentUnlinked(peer)
        keyedCalls.onAgentUnlinked(peer)
        requests.onAgentUnlinked(peer)
      }
    },
    accepted: {
      [LinkEventKind.Ready]: ({ peer }) => {
        if (peer.role === NodeRole.Agent) hub()?.onAgentLinked(peer)
      },
      // An agent sends its reports on every link; only those on dialed links are used.
      [LinkEventKind.Frame]: event =>
        handleFrame(event.peer.role === NodeRole.Agent ? registrationHandlers : frameHandlers, event),
      [LinkEventKind.Lost]: ({ peer }) => {
        if (peer?.role === NodeRole.Agent) hub()?.onAgentLost(peer.nodeId)
      }
    }
  }
}
