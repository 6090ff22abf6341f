import { type Random } from '../../core/index.js'
import type { LinkPool } from '../../links/index.js'

/** Number of entries that an agent registers with, so that it stays announced while some of them restart. */
const REGISTRATION_LINKS = 3
const REGISTRATION_CHECK_MS = 1_000
/** Consecutive failed checks after which an entry is replaced by another known one. */
const FAILED_CHECKS_MAX = 3
const KNOWN_ENTRIES_MAX = 64

/** Keeps an agent registered with a few entries. */
export interface Registration {
  /** Adds an entry that has opened a link to this agent to the known ones. */
  addEntry (address: string): void
  stop (): void
}

/**
 * Registers with seed entries, and replaces those that stop responding by entries that have opened a
 * link to the agent. All hosts, the seeds included, are replaced over time.
 *
 * @example
 * const registration = createRegistration({ pool, seeds: settings.entries, random })
 */
export const createRegistration = (
  { pool, seeds, random }: { pool: LinkPool, seeds: readonly string[], random: Random }
): Registration => {
  const known = new Set(seeds)
  const failedChecks = new Map<string, number>()
  let wanted = random.shuffle(seeds).slice(0, REGISTRATION_LINKS)

  const updateFailedChecks = (address: string) => {
    const count = pool.isReady(address) ? 0 : (failedChecks.get(address) ?? 0) + 1
    failedChecks.set(address, count)
    return count
  }

  const check = () => {
    const kept = wanted.filter(address => updateFailedChecks(address) < FAILED_CHECKS_MAX)
    const candidates = random.shuffle([...known].filter(address => !wanted.includes(address)))
    const added = candidates.slice(0, REGISTRATION_LINKS - kept.length)
    added.forEach(address => failedChecks.set(address, 0))
    // Without enough alternatives, unresponsive entries are kept: they may only be restarting.
    wanted = [...kept, ...added, ...wanted.filter(address => !kept.includes(address))].slice(0, REGISTRATION_LINKS)
    pool.setWanted(wanted)
  }

  pool.setWanted(wanted)
  const timer = setInterval(check, REGISTRATION_CHECK_MS)
  timer.unref()

  return {
    addEntry: address => {
      known.delete(address)
      known.add(address)
      const [oldest] = known
      if (known.size > KNOWN_ENTRIES_MAX && oldest !== undefined && !wanted.includes(oldest)) known.delete(oldest)
    },
    stop: () => clearInterval(timer)
  }
}
