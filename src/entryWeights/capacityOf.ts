import {
  CAPACITY_DEFAULT, CAPACITY_MIN, CAPACITY_STEPS_PER_CORE, FDS_BASE, FDS_PER_CORE, LINK_MBPS_PER_CORE, MEMORY_BASE_MB, MEMORY_MB_PER_CORE
} from './constants.js'
import type { HostLimits } from './types.js'

/**
 * Returns the capacity of an entry in cores: its share of the cores, or what its link, memory or descriptors serve if that is
 * less. Settings without cores give the default, as other limits alone tell nothing that could be compared with it.
 *
 * @example
 * capacityOf({ cpuShare: 0.45, cores: 3, linkMbps: 140, memoryMb: 602, fdsMax: 8_192 }) // 1.35
 */
export const capacityOf = ({ cpuShare, cores, linkMbps = Infinity, memoryMb = Infinity, fdsMax = Infinity }: HostLimits): number => {
  if (cpuShare === undefined && cores === undefined) return CAPACITY_DEFAULT
  const capacity = Math.min(
    (cpuShare ?? 1) * (cores ?? 1),
    linkMbps / LINK_MBPS_PER_CORE,
    (memoryMb - MEMORY_BASE_MB) / MEMORY_MB_PER_CORE,
    (fdsMax - FDS_BASE) / FDS_PER_CORE
  )
  return Math.max(CAPACITY_MIN, Math.round(capacity * CAPACITY_STEPS_PER_CORE) / CAPACITY_STEPS_PER_CORE)
}
