import type { Clock, TimestampMs } from '../../core/index.js'
import type { RankReading } from '../../expertMaps/index.js'

/** A reading as sent to the coordinator; without experts while they are as in an earlier one. */
export type SentReading = Omit<RankReading, 'experts'> & { experts?: RankReading['experts'] }

/** Interval of readings of a rank at which nothing but its step changes. */
export const CALM_READING_INTERVAL_MS = 200
/** Datagrams can be lost, so changed experts are sent with several readings, and again at an interval. */
export const EXPERTS_SENDS = 3
export const EXPERTS_INTERVAL_MS = 2_000

export interface ReadingPublisher {
  /** Returns what to send of a new reading to the coordinator, if anything. */
  publish (reading: RankReading, coordinatorRank: number): SentReading | undefined
}

export interface ReadingCollector {
  /** Completes a received reading; undefined if the experts of the rank are not known for its present map. */
  complete (reading: SentReading): RankReading | undefined
}

const expertsKey = ({ view: { epoch, mapVersion } }: SentReading) => `${epoch}/${mapVersion}`

/** During a switch the coordinator needs every reading. */
const isInSwitch = ({ view }: RankReading) =>
  view.armed !== undefined || view.heldStep !== undefined || (view.preparedVersion ?? 0) > view.mapVersion

/**
 * Creates the sending side of one agent.
 *
 * @example
 * const sent = createReadingPublisher({ clock }).publish(reading, 0)
 */
export const createReadingPublisher = ({ clock }: { clock: Clock }): ReadingPublisher => {
  let sentMs: TimestampMs = -Infinity
  let sentState = ''
  let sentExpertsKey = ''
  let expertsSendsLeft = 0
  let expertsSentMs: TimestampMs = -Infinity

  const takeExpertsDue = (key: string): boolean => {
    if (key !== sentExpertsKey) expertsSendsLeft = EXPERTS_SENDS
    sentExpertsKey = key
    if (expertsSendsLeft <= 0 && clock.nowMs() - expertsSentMs < EXPERTS_INTERVAL_MS) return false
    expertsSendsLeft -= 1
    expertsSentMs = clock.nowMs()
    return true
  }

  return {
    publish: (reading, coordinatorRank) => {
      const { experts, ...rest } = reading
      const state = `${coordinatorRank}/${expertsKey(reading)}/${reading.isOpen}/${reading.view.preparedVersion}`
      const isCalm = state === sentState && reading.choices.length === 0 && !isInSwitch(reading)
      if (isCalm && clock.nowMs() - sentMs < CALM_READING_INTERVAL_MS) return undefined
      sentMs = clock.nowMs()
      sentState = state
      return takeExpertsDue(`${coordinatorRank}/${expertsKey(reading)}`) ? reading : rest
    }
  }
}

/**
 * Creates the receiving side of a coordinator.
 *
 * @example
 * const reading = createReadingCollector().complete(sent)
 */
export const createReadingCollector = (): ReadingCollector => {
  const expertsByRank = new Map<number, { key: string, experts: RankReading['experts'] }>()
  return {
    complete: reading => {
      const { view: { rank } } = reading
      const key = expertsKey(reading)
      if (reading.experts !== undefined) expertsByRank.set(rank, { key, experts: reading.experts })
      const known = expertsByRank.get(rank)
      return known?.key === key ? { ...reading, experts: known.experts } : undefined
    }
  }
}
