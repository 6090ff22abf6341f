import { RepeatPolicy } from './constants.js'

/** What the operator publishes about the engines of a service. */
export interface EngineProfile {
  /** Absent for engines without expert groups. */
  experts?: ExpertProfile
}

export interface ExpertProfile {
  sets: number
  experts: number
  /** Most experts that a rank holds in one set. */
  placementsMax: number
  /** Most experts of one set that a rank copies for one map. */
  copiesMax: number
  /** Part of the work for a token that goes to experts. */
  expertShare: number
}

export interface ServiceConfiguration {
  name: string
  engine?: EngineProfile
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
  /** A stream may go on at another worker after the last event that was passed on. */
  isResumable: boolean
  timeoutMs: number
  /** Longest pause between two events within which a stream has its full worth; 0 if none is stated. */
  pauseObjectiveMs: number
  attemptsMax: number
  /** 0 is the most urgent. */
  priority: number
  /** Served without a key. */
  isPublic: boolean
  backends: readonly Backend[]
}

export interface TenantConfiguration {
  name: string
  priority?: number
  apiKeys: readonly string[]
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
  headerBytesMax: number
  bodyBytesMax: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** A whole valid configuration; versions only grow. */
export interface FleetConfiguration {
  version: number
  routes: readonly RouteConfiguration[]
  services: readonly ServiceConfiguration[]
  tenants: readonly TenantConfiguration[]
  limits: CallerLimits
}
