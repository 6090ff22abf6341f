/** Reports among entries: full detail within a zone, and summaries between zones through a few relays. */
export * from './bindPeerAddress.js'
export * from './constants.js'
export * from './createPeerReports.js'
export * from './datagramCodec.js'
export * from './peerReportTask.js'
export * from './summarizeZone.js'
export type * from './types.js'
export { DatagramContent, PeerEffectKind, PeerMessageKind } from './types.js'
