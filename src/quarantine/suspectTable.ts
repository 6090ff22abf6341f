import type { TimestampMs } from '../core/index.js'
import { NoticeKind, QUARANTINE_LIFETIME_MS, QUARANTINED_MAX, SUSPECT_LIFETIME_MS, SUSPECTS_MAX } from './constants.js'
import type { BodyFingerprint, CrashId, Notice } from './types.js'

/** Suspicion against one request body. */
export interface Suspicion {
  /** Crashes during which the request was in flight, with the upstream that crashed. */
  crashes: Map<CrashId, string>
  expiresMs: TimestampMs
}

/** Suspects, quarantined requests and clearances, all limited in number and lifetime. */
export interface SuspectTable {
  findSuspicion (fingerprint: BodyFingerprint): Suspicion | undefined
  isQuarantined (fingerprint: BodyFingerprint): boolean
  /** Returns true if the notice contained new information. */
  apply (notice: Notice, nowMs: TimestampMs): boolean
  expire (nowMs: TimestampMs): void
  readonly suspectCount: number
}

const setBounded = <Value>(map: Map<string, Value>, key: string, value: Value, sizeMax: number) => {
  map.delete(key)
  if (map.size >= sizeMax) map.delete(map.keys().next().value!)
  map.set(key, value)
}

/**
 * Creates an empty table. A clearance also applies to a suspicion that arrives after it. A quarantine is not
 * lifted by clearances; it ends only when it expires.
 *
 * @example
 * const table = createSuspectTable()
 * table.apply({ kind: NoticeKind.Suspects, crashId: 'u1/7', upstreamId: 'u1', fingerprints: ['ab'] }, nowMs)
 */
export const createSuspectTable = (): SuspectTable => {
  const suspicions = new Map<BodyFingerprint, Suspicion>()
  const quarantined = new Map<BodyFingerprint, TimestampMs>()
  const clearances = new Map<string, TimestampMs>()
  const clearanceKey = (fingerprint: BodyFingerprint, crashId: CrashId) => `${fingerprint}/${crashId}`

  const suspect = (fingerprint: BodyFingerprint, crashId: CrashId, upstreamId: string, nowMs: TimestampMs): boolean => {
    if (quarantined.has(fingerprint) || clearances.has(clearanceKey(fingerprint, crashId))) return false
    const suspicion = suspicions.get(fingerprint) ?? { crashes: new Map<CrashId, string>(), expiresMs: 0 }
    if (suspicion.crashes.has(crashId)) return false
    suspicion.crashes.set(crashId, upstreamId)
    suspicion.expiresMs = nowMs + SUSPECT_LIFETIME_MS
    setBounded(suspicions, fingerprint, suspicion, SUSPECTS_MAX)
    return true
  }

  const clear = (fingerprint: BodyFingerprint, crashIds: readonly CrashId[], nowMs: TimestampMs): boolean => {
    const suspicion = suspicions.get(fingerprint)
    let isNew = false
    for (const crashId of crashIds) {
      const key = clearanceKey(fingerprint, crashId)
      isNew ||= !clearances.has(key)
      setBounded(clearances, key, nowMs + SUSPECT_LIFETIME_MS, SUSPECTS_MAX)
      suspicion?.crashes.delete(crashId)
    }
    if (suspicion?.crashes.size === 0) suspicions.delete(fingerprint)
    return isNew
  }

  const quarantine = (fingerprint: BodyFingerprint, nowMs: TimestampMs): boolean => {
    suspicions.delete(fingerprint)
    if (quarantined.has(fingerprint)) return false
    setBounded(quarantined, fingerprint, nowMs + QUARANTINE_LIFETIME_MS, QUARANTINED_MAX)
    return true
  }

  const appliers: { [Kind in NoticeKind]: (notice: Extract<Notice, { kind: Kind }>, nowMs: TimestampMs) => boolean } = {
    [NoticeKind.Suspects]: ({ fingerprints, crashId, upstreamId }, nowMs) =>
      fingerprints.map(fingerprint => suspect(fingerprint, crashId, upstreamId, nowMs)).includes(true),
    [NoticeKind.Cleared]: ({ fingerprint, crashIds }, nowMs) => clear(fingerprint, crashIds, nowMs),
    [NoticeKind.Quarantined]: ({ fingerprint }, nowMs) => quarantine(fingerprint, nowMs)
  }

  return {
    findSuspicion: fingerprint => suspicions.get(fingerprint),
    isQuarantined: fingerprint => quarantined.has(fingerprint),
    apply: (notice, nowMs) => (appliers[notice.kind] as (notice: Notice, nowMs: TimestampMs) => boolean)(notice, nowMs),
    expire: nowMs => {
      for (const [key, { expiresMs }] of suspicions) if (expiresMs <= nowMs) suspicions.delete(key)
      for (const map of [quarantined, clearances]) {
        for (const [key, expiresMs] of map) if (expiresMs <= nowMs) map.delete(key)
      }
    },
    get suspectCount () { return suspicions.size }
  }
}
