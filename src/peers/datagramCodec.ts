import { isLogPosition } from '../core/index.js'
import type { WorkerRun } from '../membership/index.js'
import { isReportedTimes } from '../upstreamCapacity/index.js'
import { isReportedCold, isReportedLimit, PERMITS_MAX, type PermitAnswer, type PermitRequest } from '../workerLimits/index.js'
import { DatagramContent, type LoadSummary, type PeerDatagram, type PeerLoad, type PeerReport, type SharedState, type SlowdownNotice, type ZoneLoad, type ZoneSummary } from './types.js'

const isObject = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null

const isRecordOfNumbers = (value: unknown): value is Record<string, number> =>
  isObject(value) && Object.values(value).every(Number.isFinite)

const isReportedCrash = (value: unknown): boolean =>
  Array.isArray(value) && value.length === 4 && typeof value[0] === 'string' && Number.isFinite(value[1]) && Number.isFinite(value[2]) &&
  typeof value[3] === 'boolean'

const isCrashReport = (value: unknown): boolean =>
  isObject(value) && isRecordOfNumbers(value.answeredAgoMs) && isObject(value.crashes) &&
  Object.values(value.crashes).every(list => Array.isArray(list) && list.every(isReportedCrash))

const areTexts = (...values: readonly unknown[]) => values.every(value => typeof value === 'string')

const isLoadSummary = ({ running, pauses, upstreamTimes = {} }: LoadSummary) =>
  isRecordOfNumbers(running) && isObject(pauses) && Object.values(pauses).every(isRecordOfNumbers) && isReportedTimes(upstreamTimes)

const isSharedState = ({ configurationVersion, storePositions, crashes, paces, workerLimits }: SharedState) =>
  Number.isFinite(configurationVersion) && isObject(storePositions) && Object.values(storePositions).every(isLogPosition) && isCrashReport(crashes) && isRecordOfNumbers(paces) &&
  Array.isArray(workerLimits) && workerLimits.every(isReportedLimit)

/** Values beyond their ranges are cut where they are used, so that a later version may send others. */
const areOptionalNumbers = (...values: readonly unknown[]) => values.every(value => value === undefined || Number.isFinite(value))

const isOptionalList = (value: unknown) => value === undefined || (Array.isArray(value) && value.every(Number.isFinite))

const isLoad = (load: PeerLoad) => isObject(load) && areOptionalNumbers(load.loadStep) && areTexts(load.incarnation) && Number.isFinite(load.sequence) && isLoadSummary(load)

const areEntryAddresses = (value: unknown): boolean =>
  Array.isArray(value) && value.every(entry => isObject(entry) && areTexts(entry.address, entry.zone))

const isReport = (report: PeerReport) =>
  isLoad(report) && isSharedState(report) && areTexts(report.nodeId, report.zone, report.frontAddress) &&
  typeof report.isReady === 'boolean' && typeof report.isStoreConnected === 'boolean' && areOptionalNumbers(report.capacity) && areEntryAddresses(report.knownEntries ?? [])

const isZoneLoad = (load: ZoneLoad) =>
  isObject(load) && areTexts(load.zone, load.relayAddress, load.relayIncarnation) && Number.isFinite(load.sequence) && isLoadSummary(load)

const areZoneEntries = (value: unknown): boolean => Array.isArray(value) && value.every(entry =>
  isObject(entry) && areTexts(entry.nodeId, entry.address, entry.frontAddress) && typeof entry.isReady === 'boolean')

const isZoneSummary = (summary: ZoneSummary) => isZoneLoad(summary) && isSharedState(summary) && areZoneEntries(summary.entries) && areEntryAddresses(summary.otherRelays) &&
  isOptionalList(summary.capacities) && isOptionalList(summary.loadSteps)

const isSlowdownNotice = (notice: SlowdownNotice) => isObject(notice) && areTexts(notice.workerId) && Number.isFinite(notice.pace)

const isAbsentOr = (isValid: (value: unknown) => boolean, value: unknown) => value === undefined || isValid(value)

const isSameRun = (one: WorkerRun, other: WorkerRun) => one.workerId === other.workerId && one.startedAtUnixMs === other.startedAtUnixMs

const isPermitRequest = (request: PermitRequest) =>
  isObject(request) && Number.isFinite(request.requestId) && areTexts(request.zone) && (request.limit !== undefined || request.cold !== undefined) &&
  isAbsentOr(isReportedLimit, request.limit) && isAbsentOr(isReportedCold, request.cold) &&
  (request.limit === undefined || request.cold === undefined || isSameRun(request.limit, request.cold))

const isPermitAnswer = (answer: PermitAnswer) =>
  isObject(answer) && Number.isFinite(answer.requestId) && Number.isFinite(answer.retryAfterMs) && answer.retryAfterMs >= 0 &&
  Number.isInteger(answer.count) && answer.count >= 0 && answer.count <= PERMITS_MAX && isAbsentOr(isReportedLimit, answer.limit)

const VALIDATORS: { [Content in DatagramContent]: (datagram: Extract<PeerDatagram, { content: Content }>) => boolean } = {
  [DatagramContent.Report]: ({ report }) => isReport(report),
  [DatagramContent.Load]: ({ load }) => isLoad(load),
  [DatagramContent.ZoneSummary]: ({ summary }) => isZoneSummary(summary),
  [DatagramContent.ZoneLoad]: ({ load }) => isZoneLoad(load),
  [DatagramContent.Slowdown]: ({ notice }) => isSlowdownNotice(notice),
  [DatagramContent.PermitRequest]: ({ request }) => isPermitRequest(request),
  [DatagramContent.PermitAnswer]: ({ answer }) => isPermitAnswer(answer)
}

/**
 * Encodes the content of a datagram.
 *
 * @example
 * socket.send(encodeDatagram({ content: DatagramContent.Slowdown, notice: { workerId: 'w1', pace: 2.5 } }), port, host)
 */
export const encodeDatagram = (datagram: PeerDatagram): Buffer => Buffer.from(JSON.stringify(datagram))

/**
 * Decodes a datagram. Any process that reaches the port can send one, so incomplete content is rejected.
 *
 * @throws SyntaxError or TypeError if the bytes are no valid datagram
 * @example
 * const datagram = decodeDatagram(bytes)
 */
export const decodeDatagram = (bytes: Buffer): PeerDatagram => {
  const datagram = JSON.parse(bytes.toString('utf8')) as PeerDatagram
  const isKnown = isObject(datagram) && Object.hasOwn(VALIDATORS, datagram.content)
  const isValid = isKnown && (VALIDATORS[datagram.content] as (datagram: PeerDatagram) => boolean)(datagram)
  if (!isValid) throw new TypeError('datagram has a missing or invalid field')
  return datagram
}
