import { type Random } from '../../core/index.js'
import type { LinkPool } from '../../links/index.js'

/** Entries that an agent keeps a link to, so that it is announced even while some of them restart. */
const REGISTRATION_LINKS = 3
const REGISTRATION_CHECK_MS = 1_000
/** Checks after which an entry that does not answer is replaced by another known one. */
const FAILED_CHECKS_MAX = 3
const KNOWN_ENTRIES_MAX = 64

/** Keeps an agent registered with a few live entries. */
export interface Registration {
  /** Notes an entry that has opened a link to this agent. */
  noteEntry (address: string): void
  stop (): void
}

/**
 * Registers with seed entries and replaces those that stop answering by entries that have linked
 * to the agent, because all hosts, the seeds included, are replaced over time.
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

  const countFailure = (address: string) => {
    const count = pool.isReady(address) ? 0 : (failedChecks.get(address) ?? 0) + 1
    failedChecks.set(address, count)
    return count
  }

  const check = () => {
    const kept = wanted.filter(address => countFailure(address) < FAILED_CHECKS_MAX)
    const spare = random.shuffle([...known].filter(address => !wanted.includes(address)))
    const added = spare.slice(0, REGISTRATION_LINKS - kept.length)
    added.forEach(address => failedChecks.set(address, 0))
    // With nothing else known, the silent entries stay wanted: they may only be restarting.
    wanted = [...kept, ...added, ...wanted.filter(address => !kept.includes(address))].slice(0, REGISTRATION_LINKS)
    pool.setWanted(wanted)
  }

  pool.setWanted(wanted)
  const timer = setInterval(check, REGISTRATION_CHECK_MS)
  timer.unref()

  return {
    noteEntry: address => {
      known.delete(address)
      known.add(address)
      const [oldest] = known
      if (known.size > KNOWN_ENTRIES_MAX && oldest !== undefined && !wanted.includes(oldest)) known.delete(oldest)
    },
    stop: () => clearInterval(timer)
  }
}
