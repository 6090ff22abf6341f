import type { EvacuationChange, EvacuationRecord } from './types.js'

/** The failure domains whose upstreams get no further traffic. */
export interface Evacuations {
  isEvacuated (zone: string): boolean
  /** Evacuated failure domains by name, also those that no upstream is in. */
  zones (): string[]
  /** Applies records in log order. */
  apply (records: readonly EvacuationRecord[]): EvacuationChange[]
  /** Replaces the set; a failure domain that no record names is not evacuated. */
  replaceAll (records: readonly EvacuationRecord[]): EvacuationChange[]
}

/**
 * Creates an empty set.
 *
 * @example
 * const evacuations = createEvacuations()
 * evacuations.apply([{ zone: 'tema-a', isEvacuated: true, era: 1, offset: 8 }])
 * evacuations.isEvacuated('tema-a') // true
 */
export const createEvacuations = (): Evacuations => {
  const evacuated = new Map<string, EvacuationRecord>()

  const applyOne = (record: EvacuationRecord): EvacuationChange[] => {
    const { zone, isEvacuated } = record
    const hasChanged = isEvacuated !== evacuated.has(zone)
    if (isEvacuated) evacuated.set(zone, record)
    else evacuated.delete(zone)
    return hasChanged ? [record] : []
  }

  const apply = (records: readonly EvacuationRecord[]) => records.flatMap(applyOne)

  return {
    isEvacuated: zone => evacuated.has(zone),
    zones: () => [...evacuated.keys()].sort(),
    apply,
    replaceAll: records => {
      const named = new Set(records.map(({ zone }) => zone))
      const unnamed = [...evacuated.values()].filter(({ zone }) => !named.has(zone))
      return [...apply(unnamed.map(record => ({ ...record, isEvacuated: false }))), ...apply(records)]
    }
  }
}
