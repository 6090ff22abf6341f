import { RepeatPolicy } from './constants.js'

/** Operator settings for the engines of a service. */
export interface EngineProfile {
  /** Undefined for engines without expert groups. */
  experts?: ExpertProfile
}

export interface ExpertProfile {
  sets: number
  experts: number
  /** Maximum number of experts that a rank holds in one set. */
  placementsMax: number
  /** Maximum number of experts of one set that a rank copies for one map. */
  copiesMax: number
  /** Time in which a rank copies one expert; undefined if it is not known. Copies of a rank run one after the other. */
  copyMs: number | undefined
  /** Share of the work per token that is done by experts. */
  expertShare: number
}

/** How the upstreams of a service warm up after a start, or whenever they become cold again. */
export interface WarmUpProfile {
  /** Upper bound of the time for which an upstream stays cold. */
  durationMs: number
  /** Requests per second that a cold upstream takes from all entries together. */
  requestsPerS: number
}

export interface ServiceConfiguration {
  name: string
  /** Where an upstream of the service answers questions about itself; undefined if that is not known. */
  statusPath?: string
  engine?: EngineProfile
  /** Undefined for a service without warm-up. */
  warmUp?: WarmUpProfile
}

export interface Backend {
  service: string
  weight: number
}

export interface RouteConfiguration {
  name: string
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  repeat: RepeatPolicy
  isEventStream: boolean
  /** Whether a stream may resume at another worker after the last forwarded event. */
  isResumable: boolean
  timeoutMs: number
  /** Target for the longest gap between two events of a stream; 0 if there is none. */
  eventGapTargetMs: number
  attemptsMax: number
  /** 0 is the highest priority. */
  priority: number
  /** Whether callers need no API key. */
  isPublic: boolean
  backends: readonly Backend[]
}

export interface TenantConfiguration {
  name: string
  priority?: number
  apiKeys: readonly string[]
}

/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
  headerBytesMax: number
  bodyBytesMax: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** A complete, validated configuration; version numbers only increase. */
export interface FleetConfiguration {
  version: number
  routes: readonly RouteConfiguration[]
  services: readonly ServiceConfiguration[]
  tenants: readonly TenantConfiguration[]
  limits: CallerLimits
}
