import { createLog } from '../../core/index.js'
import type { PeerIdentity } from '../../links/index.js'
import { type Metrics, MetricName } from '../../observe/index.js'

const log = createLog('evacuation')

export interface EvacuationWatchOptions {
  /** Failure domains that the configuration in effect evacuates. */
  evacuatedDomains: () => string[]
  agents: () => readonly Pick<PeerIdentity, 'failureDomain'>[]
  metrics: Metrics
}

/** Reports the beginning and the end of evacuations in logs and metrics. */
export interface EvacuationWatch {
  onRowsChanged (): void
}

/**
 * Creates the watch of one entry.
 *
 * @example
 * createEvacuationWatch({ evacuatedDomains: table.evacuatedDomains, agents, metrics }).onRowsChanged()
 */
export const createEvacuationWatch = ({ evacuatedDomains, agents, metrics }: EvacuationWatchOptions): EvacuationWatch => {
  let known: readonly string[] = []

  const report = (domain: string, isEvacuated: boolean) => {
    const affected = agents().filter(({ failureDomain }) => failureDomain === domain).length
    log(isEvacuated ? 'failure domain %s is evacuated, %d agents' : 'failure domain %s serves again, %d agents', domain, affected)
    metrics.record(MetricName.DomainEvacuated, Number(isEvacuated), { domain })
  }

  return {
    onRowsChanged: () => {
      const domains = evacuatedDomains()
      const begun = domains.filter(domain => !known.includes(domain))
      const ended = known.filter(domain => !domains.includes(domain))
      known = domains
      begun.forEach(domain => report(domain, true))
      ended.forEach(domain => report(domain, false))
      if (begun.length + ended.length > 0) metrics.record(MetricName.EvacuatedDomains, domains.length)
    }
  }
}
