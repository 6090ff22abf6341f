import { EditRule, FollowerRule } from '../../src/configuration/index.js'
import { GateRule, LeaseRule } from '../../src/orders/index.js'
import { runConfigurationWorld } from './configurationWorld.js'
import { runLeaseWorld } from './leaseWorld.js'

/** Simulation that a schedule runs in. */
export enum WorldKind {
  Configuration = 'configuration',
  Leases = 'leases'
}

/** Whether a schedule runs with all rules or with none, as the naive version. */
export enum RuleSet {
  All = 'all',
  None = 'none'
}

export interface ScheduleRange {
  world: WorldKind
  ruleSet: RuleSet
  firstSeed: number
  count: number
}

export interface ScheduleTotals {
  schedules: number
  reverts: number
  splitVerdicts: number
  supersededOrders: number
}

const noFollowerRules = new Set(Object.values(FollowerRule))
const noEditRules = new Set(Object.values(EditRule))
const noLeaseRules = new Set(Object.values(LeaseRule))
const noGateRules = new Set(Object.values(GateRule))

const worlds: Record<WorldKind, Record<RuleSet, (seed: number) => Omit<ScheduleTotals, 'schedules'>>> = {
  [WorldKind.Configuration]: {
    [RuleSet.All]: seed => ({ ...runConfigurationWorld({ seed }), supersededOrders: 0 }),
    [RuleSet.None]: seed => ({
      ...runConfigurationWorld({ seed, disabledRules: noFollowerRules, disabledEditRules: noEditRules }),
      supersededOrders: 0
    })
  },
  [WorldKind.Leases]: {
    [RuleSet.All]: seed => runLeaseWorld({ seed }),
    [RuleSet.None]: seed => runLeaseWorld({
      seed, disabledRules: noFollowerRules, disabledLeaseRules: noLeaseRules, disabledGateRules: noGateRules
    })
  }
}

export const addTotals = (a: ScheduleTotals, b: ScheduleTotals): ScheduleTotals => ({
  schedules: a.schedules + b.schedules,
  reverts: a.reverts + b.reverts,
  splitVerdicts: a.splitVerdicts + b.splitVerdicts,
  supersededOrders: a.supersededOrders + b.supersededOrders
})

export const ZERO_TOTALS: ScheduleTotals = { schedules: 0, reverts: 0, splitVerdicts: 0, supersededOrders: 0 }

/**
 * Runs the schedules of consecutive seeds in one simulation and adds up the violations that the detectors
 * found.
 */
export const runScheduleRange = ({ world, ruleSet, firstSeed, count }: ScheduleRange): ScheduleTotals => {
  const runOne = worlds[world][ruleSet]
  let totals = ZERO_TOTALS
  for (let i = 0; i < count; i++) totals = addTotals(totals, { schedules: 1, ...runOne(firstSeed + i) })
  return totals
}
