import type { TimestampMs } from '../core/index.js'
import type { Trait } from './requestTraits.js'

/** Which entries saw an answer, as seen from this one. */
export enum AnswerOrigin {
  Self = 'self',
  OwnZone = 'own-zone',
  OtherZone = 'other-zone'
}

/** To which entries a report goes. */
export enum ReportAudience {
  OwnZone = 'own-zone',
  OtherZones = 'other-zones'
}

/**
 * Answers that a report contains. A report tells ages, to which its way adds, so an answer that went round among the entries
 * would seem newer each time. Entries therefore pass on answers in one direction only: within the zone those that they saw
 * themselves, to other zones also those of their zone.
 */
const REPORTED_ORIGINS: Record<ReportAudience, readonly AnswerOrigin[]> = {
  [ReportAudience.OwnZone]: [AnswerOrigin.Self],
  [ReportAudience.OtherZones]: [AnswerOrigin.Self, AnswerOrigin.OwnZone]
}

/** Maximum number of traits whose last answer is remembered. */
export const ANSWERED_TRAITS_MAX = 8_192

/** When workers last answered requests to the end, by trait. */
export interface AnswerTimes {
  /** Records an answer; returns whether it is the newest known one. */
  record (trait: Trait, origin: AnswerOrigin, atMs: TimestampMs): boolean
  /** Time of the newest answer, whoever saw it. */
  latest (trait: Trait): TimestampMs | undefined
  /** Time of the newest answer that this entry saw itself. */
  latestOwn (trait: Trait): TimestampMs | undefined
  /** Time of the newest answer that a report may contain. */
  latestFor (trait: Trait, audience: ReportAudience): TimestampMs | undefined
}

type TimesByOrigin = Partial<Record<AnswerOrigin, TimestampMs>>

const newestOf = (times: TimesByOrigin, origins: readonly AnswerOrigin[]): TimestampMs | undefined =>
  origins.reduce<TimestampMs | undefined>((newest, origin) => {
    const atMs = times[origin]
    return atMs === undefined || (newest !== undefined && newest >= atMs) ? newest : atMs
  }, undefined)

const ALL_ORIGINS = Object.values(AnswerOrigin)

/**
 * Creates an empty table.
 *
 * @example
 * const answers = createAnswerTimes()
 * answers.record('part/m/5c1e', AnswerOrigin.Self, clock.nowMs())
 */
export const createAnswerTimes = (): AnswerTimes => {
  /** Ordered by the time of the last change. */
  const timesByTrait = new Map<Trait, TimesByOrigin>()

  const latest = (trait: Trait) => newestOf(timesByTrait.get(trait) ?? {}, ALL_ORIGINS)

  return {
    record: (trait, origin, atMs) => {
      const times = timesByTrait.get(trait) ?? {}
      if (atMs <= (times[origin] ?? -Infinity)) return false
      const isNewest = atMs > (latest(trait) ?? -Infinity)
      times[origin] = atMs
      // Reinserted, so that the map stays ordered.
      timesByTrait.delete(trait)
      timesByTrait.set(trait, times)
      const [oldest] = timesByTrait.keys()
      if (timesByTrait.size > ANSWERED_TRAITS_MAX && oldest !== undefined) timesByTrait.delete(oldest)
      return isNewest
    },
    latest,
    latestOwn: trait => timesByTrait.get(trait)?.[AnswerOrigin.Self],
    latestFor: (trait, audience) => newestOf(timesByTrait.get(trait) ?? {}, REPORTED_ORIGINS[audience])
  }
}
