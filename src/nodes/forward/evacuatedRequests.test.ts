import { beforeEach, describe, expect, it } from 'vitest'
import { createUpstreamBytes } from '../../callerLimits/index.js'
import { createConfigurationHolder, RepeatPolicy } from '../../configuration/index.js'
import { createManualClock, createRandom, type ManualClock, ResultCode } from '../../core/index.js'
import { createEvacuations, type Evacuations } from '../../evacuation/index.js'
import { createFleetRetryBudget } from '../../limits/index.js'
import { createWorkerTable, type WorkerTable } from '../../membership/index.js'
import {
  createForwardCore, type ForwardCore, type ForwardEffect, ForwardEffectKind, ForwardMessageKind, type ForwardRequest, QUEUE_WAIT_MAX_MS
} from '../../requests/index.js'
import { createWorkerPlacement } from '../../routing/index.js'
import { WorkerPermission, type WorkerLimits } from '../../workerLimits/index.js'
import { createCrashMonitor } from './crashMonitor.js'
import { createForwardCounters } from './forwardCounters.js'
import { createForwardPorts } from './forwardPorts.js'
import { createPlacementRequests } from './placementRequest.js'

const ZONES = ['a', 'b', 'c']

describe('requests while failure domains are evacuated', () => {
  let clock: ManualClock
  let evacuations: Evacuations
  let workers: WorkerTable
  let core: ForwardCore
  let nextId: number

  beforeEach(() => {
    clock = createManualClock(10_000)
    nextId = 1
    evacuations = createEvacuations()
    workers = createWorkerTable({ clock, isEvacuated: evacuations.isEvacuated })
    workers.replaceAll(ZONES.map((zone, at) => ({
      workerId: zone, startedAtUnixMs: 1, service: 's', address: `10.0.0.${at}:80`, zone, slots: 1, isDraining: false, heartbeat: 1, storePosition: { era: 1, offset: at }
    })))
    const random = createRandom(1)
    const permissionOf = () => WorkerPermission.Unlimited
    const streamLimitOf = () => { throw new Error('the service has no stream limit') }
    const upstreamBytes = createUpstreamBytes(Infinity)
    core = createForwardCore({
      clock,
      ports: createForwardPorts({
        random,
        placementRequests: createPlacementRequests({ configuration: createConfigurationHolder(), streamLimitOf, usableWorkers: workers.usable, upstreamBytes }),
        placement: createWorkerPlacement({ clock, random, ownZone: 'a', workers, peersRunningAt: () => 0, slowdownOf: () => 1, permissionOf }),
        budget: createFleetRetryBudget({ clock, settings: () => ({ ratio: 1, windowMs: 10_000, fleetSlack: 100 }), shareOfFleet: () => 1 }),
        streamLimitOf,
        upstreamBytes,
        usableWorkers: workers.usable,
        crashes: createCrashMonitor({ clock, log: () => {}, onChanged: () => {} }),
        isLeaving: () => false,
        mayRetry: () => true,
        recordDuration: () => {},
        workerLimits: { permissionOf, waitMsOf: () => 0, coldLeftMs: () => 0, usePermit: () => {} } as unknown as WorkerLimits,
        postWorkerLimits: () => {},
        onWorkerLeaving: () => {},
        counters: createForwardCounters(),
        log: () => {},
        capacityRecorder: { recordSent: () => {}, recordEnded: () => {} },
        now: clock.nowMs,
        onRunningChanged: () => {}
      })
    })
  })

  const request = (): ForwardRequest => ({
    requestId: `r${nextId++}`,
    callerAttemptId: 'a',
    route: { name: 'look', isEventStream: false, isResumable: false, repeat: RepeatPolicy.Idempotent, attemptsMax: 3 } as ForwardRequest['route'],
    service: 's',
    tenant: undefined,
    priority: 1,
    arrivedAtMs: clock.nowMs(),
    deadlineAtMs: clock.nowMs() + 2_000,
    method: 'GET',
    path: '/',
    headers: [],
    body: new Uint8Array(),
    lastEventId: undefined,
    model: undefined,
    promptParts: []
  })
  const submit = () => core.handle({ kind: ForwardMessageKind.Submitted, request: request() })
  const sends = (effects: ForwardEffect[]) => effects.flatMap(effect => effect.kind === ForwardEffectKind.SendToWorker ? [effect] : [])
  const refusals = (effects: ForwardEffect[]) => effects.flatMap(effect => effect.kind === ForwardEffectKind.Refuse ? [effect] : [])
  const set = (isEvacuated: boolean, ...zones: string[]) => evacuations.apply(zones.map(zone => ({ zone, isEvacuated, era: 1, offset: 9 })))
  /** Fills both places of each worker. */
  const fill = () => ZONES.flatMap(() => [submit(), submit()].flatMap(sends))
  const freePlaceIn = (zone: string, exchanges: ReturnType<typeof fill>) => {
    const { request: { requestId } } = exchanges.find(({ worker }) => worker.zone === zone)!
    core.handle({ kind: ForwardMessageKind.CallerGone, requestId })
  }
  const failExchange = (exchangeId: number) =>
    core.handle({ kind: ForwardMessageKind.ExchangeFailed, exchangeId, hasLeft: false, reason: 'refused' })

  it('go to other ones, first attempts and retries alike', () => {
    set(true, 'a', 'b')
    const [sent] = sends(submit())
    expect(sent!.worker.zone).toBe('c')
    expect(sends(failExchange(sent!.exchangeId)).map(({ worker }) => worker.zone)).toEqual(['c'])
  })

  // Guards against a request that takes a free place which became evacuated while it waited in the queue.
  it('that wait in the queue take no place there', () => {
    const exchanges = fill()
    expect(submit()).toEqual([])
    set(true, 'b')
    freePlaceIn('b', exchanges)
    expect(core.handle({ kind: ForwardMessageKind.CapacityFreed })).toEqual([])
    freePlaceIn('c', exchanges)
    expect(sends(core.handle({ kind: ForwardMessageKind.CapacityFreed })).map(({ worker }) => worker.zone)).toEqual(['c'])
  })

  // Guards against callers that are held in the queue although no upstream can become free.
  it('are refused at once with a time for the next attempt if all are evacuated, also those in the queue', () => {
    fill()
    submit()
    set(true, ...ZONES)
    const [waiting] = refusals(core.handle({ kind: ForwardMessageKind.CapacityFreed }))
    const [submitted] = refusals(submit())
    for (const refusal of [waiting, submitted]) {
      expect(refusal!.code).toBe(ResultCode.AllEvacuated)
      expect(refusal!.retryAfterMs).toBeGreaterThan(0)
    }
    set(false, 'c')
    expect(submit()).toEqual([])
    clock.advance(QUEUE_WAIT_MAX_MS)
    expect(refusals(core.handle({ kind: ForwardMessageKind.Tick })).map(({ code }) => code)).toEqual([ResultCode.Overloaded])
  })

  it('that already run there may complete', () => {
    const [sent] = sends(submit())
    set(true, ...ZONES)
    expect(core.handle({ kind: ForwardMessageKind.Tick })).toEqual([])
    core.handle({
      kind: ForwardMessageKind.ResponseStarted,
      exchangeId: sent!.exchangeId,
      answer: { verdict: 'success', status: 200, isPromiseNotRun: false, headers: [], isEventStream: false, framing: 'length', notice: undefined } as never
    })
    const effects = core.handle({ kind: ForwardMessageKind.ResponseFinished, exchangeId: sent!.exchangeId })
    expect(effects.some(({ kind }) => kind === ForwardEffectKind.Complete)).toBe(true)
  })
})
