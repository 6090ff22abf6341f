import {
  baseOffsetOf, type ConfigurationBody, type ConfigurationDocument, type ConfigurationEffect, ConfigurationEffectKind,
  type ConfigurationMessage,
  ConfigurationRecordKind, createConfigurationReader, type Edit, type EditRule, type EditVerdict, FollowerEffectKind,
  FollowerMessageKind, type FollowerRule, type PoolRow, type RouteRow, type Row, type RowIdentity, RowKind,
  rowKeyOf, type RowVersion
} from '../../src/configuration/index.js'
import { createManualClock, createRandom, dispatch, type HandlerTable, hash32, type ResultCode } from '../../src/core/index.js'
import { createFakeLog, type FakeLog } from './fakeLog.js'
import { type NaiveTables, replayNaively } from './naiveReplay.js'
import { samplePool, sampleRoute } from './sampleRows.js'

export interface ConfigurationWorldOptions {
  seed: number
  steps?: number
  /** Whether records also expire unread; settling then lasts long enough to restart the table. */
  hasOutages?: boolean
  disabledRules?: ReadonlySet<FollowerRule>
  disabledEditRules?: ReadonlySet<EditRule>
}

export interface ConfigurationFindings {
  /** Rows that were reverted to an older edit, or that one edit changed twice. */
  reverts: number
  /** Edits whose observed verdicts differ among the hosts or from the naive replay. */
  splitVerdicts: number
  /** Hosts that had not reached the end of the log after all faults had ended, although another host had. */
  strandedHosts: number
  accepted: number
  snapshotsLoaded: number
  /** Restarts of the table that took effect. */
  restarts: number
}

interface Host {
  incarnation: number
  reader: ReturnType<typeof createConfigurationReader>
  versions: Map<string, RowVersion>
}

const HOST_COUNT = 3
/** Enough rounds for a read that timed out, a page, a peer's state and the pages after it. */
const SETTLE_ROUNDS = 5
/** A gap is reported within 90 s, and another record may get ahead of its restart once. */
const RESTART_SETTLE_ROUNDS = 60
const TRUNCATED_SHARE = 0.1
const RETENTION_MS = 60_000
const POOLS = ['quotes', 'yard'].map(name => ({ kind: RowKind.Pool as const, name }))
const ROUTES = ['ask', 'book', 'cut'].map(name => ({ kind: RowKind.Route as const, name }))
/** A few row variants, validated once, because the schedules do not test row validation. */
const POOL_ROWS: PoolRow[][] = POOLS.map(({ name }) => [2, 3, 4].map(movesAtOnceMax => samplePool(name, { movesAtOnceMax })))
const ROUTE_ROWS: RouteRow[][] = ROUTES.map(({ name }) =>
  POOLS.flatMap(pool => [10_000, 20_000].map(deadlineMs => sampleRoute(name, pool.name, { deadlineMs }))))
const IDENTITIES: RowIdentity[] = [...POOLS, ...ROUTES]
const ROWS: Row[][] = [...POOL_ROWS, ...ROUTE_ROWS]

/**
 * Runs one random schedule of edits and snapshots under pauses, restarts, expired records, log outages, and
 * lost, late and duplicate messages and appends.
 */
export const runConfigurationWorld = (
  { seed, steps = 50, hasOutages = false, disabledRules, disabledEditRules }: ConfigurationWorldOptions
): ConfigurationFindings => {
  // createRandom yields nearly equal first numbers for small seeds, so the seed is hashed.
  const random = createRandom(hash32(`configuration/${seed}`))
  const clock = createManualClock(1_000_000)
  const log: FakeLog<ConfigurationBody> = createFakeLog()
  const findings = { reverts: 0, splitVerdicts: 0, accepted: 0, snapshotsLoaded: 0 }
  const verdictByEdit = new Map<string, { code: ResultCode, offset: number }>()
  const acceptedAt = new Map<string, number>()
  const lateAppends: ConfigurationBody[] = []
  let inFlight: Array<{ to: number, incarnation: number, message: ConfigurationMessage }> = []
  let isLogUnavailable = false
  let isSettling = false
  let editCount = 0

  const createHost = (incarnation: number): Host => ({
    incarnation,
    reader: createConfigurationReader({
      clock, random: createRandom(random.int(0, 1 << 30)), retentionMs: RETENTION_MS, disabledRules, disabledEditRules
    }),
    versions: new Map()
  })
  const hosts = Array.from({ length: HOST_COUNT }, (_, i) => createHost(i))

  const post = (to: number, message: ConfigurationMessage) => {
    inFlight.push({ to, incarnation: hosts[to]!.incarnation, message })
  }

  const restarts = () => log.history.flatMap(({ offset, body }) =>
    body.kind === ConfigurationRecordKind.Restart && body.document.offset + 1 === offset ? [{ offset, readOffset: body.readOffset }] : [])

  /** Whether a restart replaced what was decided at this offset, unread by the restart's writer before the gap. */
  const isDecidedAgain = (decidedAt: number) => restarts().some(({ offset, readOffset }) => decidedAt > readOffset && decidedAt < offset)

  const recordRows = (host: Host, versions: RowVersion[]) => {
    if (versions.length > 1) findings.snapshotsLoaded += 1
    for (const version of versions) {
      const key = rowKeyOf(version)
      const currentOffset = host.versions.get(key)?.offset ?? 0
      if (version.offset < currentOffset && !isDecidedAgain(currentOffset)) findings.reverts += 1
      const firstOffset = acceptedAt.get(version.editId)
      if (firstOffset === undefined) findings.accepted += 1
      else if (firstOffset !== version.offset && !isDecidedAgain(firstOffset)) findings.reverts += 1
      acceptedAt.set(version.editId, Math.max(firstOffset ?? 0, version.offset))
      host.versions.set(key, version)
    }
  }

  const recordVerdict = ({ editId, code, offset }: EditVerdict) => {
    const known = verdictByEdit.get(editId)
    if (known === undefined) verdictByEdit.set(editId, { code, offset })
    else if (isDecidedAgain(known.offset)) verdictByEdit.set(editId, { code, offset })
    else if (known.code !== code || known.offset !== offset) findings.splitVerdicts += 1
  }

  /** Drops the last row from a share of the documents, as if they were truncated in transit. */
  const truncateSome = (document: ConfigurationDocument): ConfigurationDocument =>
    random.next() < TRUNCATED_SHARE ? { ...document, versions: document.versions.slice(0, -1) } : document

  const createPerformers = (self: number): HandlerTable<ConfigurationEffect, void> => ({
    [FollowerEffectKind.ReadLog]: ({ readId, fromOffset }) => post(self, isLogUnavailable
      ? { kind: FollowerMessageKind.LogFailed }
      : { kind: FollowerMessageKind.LogPageRead, readId, ...log.read(fromOffset, random.int(2, 20)) }),
    [FollowerEffectKind.AskPeers]: ({ aboveOffset }) => {
      for (let to = 0; to < HOST_COUNT; to++) {
        if (to !== self) post(to, { kind: FollowerMessageKind.PeerStateRequested, peerId: String(self), aboveOffset })
      }
    },
    [FollowerEffectKind.SendState]: ({ peerId, document, retainedSinceMs }) =>
      post(Number(peerId), {
        kind: FollowerMessageKind.PeerStateReceived, document: truncateSome(document), retainedSinceMs
      }),
    [FollowerEffectKind.CaughtUp]: () => {},
    [FollowerEffectKind.GapPersists]: ({ offset, replayed }) => {
      if (replayed !== undefined) appendAlways({ kind: ConfigurationRecordKind.Restart, document: replayed, readOffset: offset })
    },
    [FollowerEffectKind.EndReached]: () => {},
    [FollowerEffectKind.EndFailed]: () => {},
    [FollowerEffectKind.AppendSnapshot]: ({ snapshot }) =>
      appendWithFaults({ kind: ConfigurationRecordKind.Snapshot, snapshot }),
    [ConfigurationEffectKind.RowsAccepted]: ({ versions }) => recordRows(hosts[self]!, versions),
    [ConfigurationEffectKind.VerdictReached]: ({ verdict }) => recordVerdict(verdict),
    [ConfigurationEffectKind.EditsLost]: ({ edits }) => {
      for (const edit of edits) appendAlways({ kind: ConfigurationRecordKind.Edit, edit, faults: [] })
    }
  })
  const performersByHost = hosts.map((_, i) => createPerformers(i))

  const handle = (to: number, message: ConfigurationMessage) => {
    for (const effect of hosts[to]!.reader.handle(message)) dispatch(performersByHost[to]!, effect)
  }

  /**
   * Appends at once, late (as with a paused writer or a slow response) or both; appends nothing while the
   * schedule settles.
   */
  const appendWithFaults = (body: ConfigurationBody) => {
    if (isSettling) return
    const draw = random.next()
    if (draw > 0.7 || isLogUnavailable) lateAppends.push(body)
    if (draw < 0.8 && !isLogUnavailable) log.append(body, clock.nowMs())
  }

  /** Also appends while the schedule settles: without restarts no host could reach the end of the log. */
  const appendAlways = (body: ConfigurationBody) => {
    if (isSettling) log.append(body, clock.nowMs())
    else appendWithFaults(body)
  }

  /** Appends edits and expires records before any host has read them. */
  const expireUnreadEdit = () => {
    edit()
    log.expireBelow(log.nextOffset - random.int(0, 1))
    edit()
  }

  const edit = () => {
    const index = random.int(0, IDENTITIES.length - 1)
    const identity = IDENTITIES[index]!
    const { versions } = random.pick(hosts)
    const current = versions.get(rowKeyOf(identity))?.row
    const row = current && random.next() < 0.3 ? null : random.pick<Row>(ROWS[index]!)
    const body: Edit = { ...identity, editId: `e${editCount++}`, baseOffset: baseOffsetOf(versions, identity), row }
    appendWithFaults({ kind: ConfigurationRecordKind.Edit, edit: body, faults: [] })
  }

  const removeRandom = <T>(items: T[]): T | undefined => {
    if (items.length === 0) return undefined
    const index = random.int(0, items.length - 1)
    const item = items[index]!
    items[index] = items.at(-1)!
    items.pop()
    return item
  }

  const appendLate = () => {
    const body = isLogUnavailable ? undefined : removeRandom(lateAppends)
    if (body !== undefined) log.append(body, clock.nowMs())
  }

  const deliver = () => {
    const item = removeRandom(inFlight)
    if (item === undefined) return
    const draw = random.next()
    if (draw < 0.1) inFlight.push(item)
    if (draw > 0.9 || item.incarnation !== hosts[item.to]!.incarnation) return
    handle(item.to, item.message)
  }

  const tick = () => {
    clock.advance(random.int(100, 3_000))
    handle(random.int(0, HOST_COUNT - 1), { kind: FollowerMessageKind.Tick })
  }

  const expire = () => {
    const limitMs = clock.nowMs() - RETENTION_MS
    const firstRetained = log.history.findIndex(({ timeMs }) => timeMs >= limitMs)
    log.expireBelow(random.next() < 0.2 ? random.int(1, log.nextOffset) : firstRetained === -1 ? 1 : firstRetained + 1)
  }

  const restart = () => {
    const index = random.int(0, HOST_COUNT - 1)
    hosts[index] = createHost(hosts[index]!.incarnation + HOST_COUNT)
  }

  const pause = () => {
    clock.advance(random.int(5_000, 40_000))
  }

  /** Steps, repeated by weight; a host that no step picks for a while acts as paused or slow. */
  const actions = [
    ...Array<() => void>(10).fill(deliver), ...Array<() => void>(5).fill(edit), ...Array<() => void>(5).fill(tick),
    appendLate, appendLate, expire, restart, pause, () => { isLogUnavailable = !isLogUnavailable }, ...(hasOutages ? [expireUnreadEdit] : [])
  ]

  const settle = () => {
    isLogUnavailable = false
    isSettling = true
    while (lateAppends.length > 0) appendLate()
    for (let round = 0; round < (hasOutages ? RESTART_SETTLE_ROUNDS : SETTLE_ROUNDS); round++) {
      clock.advance(4_000)
      for (let to = 0; to < HOST_COUNT; to++) handle(to, { kind: FollowerMessageKind.Tick })
      for (let i = 0; i < 200 && inFlight.length > 0; i++) {
        const batch = inFlight
        inFlight = []
        for (const { to, incarnation, message } of batch) if (incarnation === hosts[to]!.incarnation) handle(to, message)
      }
    }
  }

  const hasReachedEnd = (host: Host): boolean => {
    const [effect] = host.reader.handle({ kind: FollowerMessageKind.PeerStateRequested, peerId: '0', aboveOffset: -1 })
    return effect?.kind === FollowerEffectKind.SendState && effect.document.offset + 1 === log.nextOffset
  }

  /** Counts differences between hosts that reached the end of the log and the naive replay of all records. */
  const compareWithReplay = (hostsAtEnd: Host[], { lastByKey, codeByEditId }: NaiveTables) => {
    for (const { versions } of hostsAtEnd) {
      for (const [key, { offset }] of lastByKey) if (versions.get(key)?.offset !== offset) findings.reverts += 1
      for (const key of versions.keys()) if (!lastByKey.has(key)) findings.reverts += 1
    }
    for (const [editId, { code, offset }] of verdictByEdit) {
      if (codeByEditId.get(editId) !== code && !isDecidedAgain(offset)) findings.splitVerdicts += 1
    }
  }

  for (let step = 0; step < steps; step++) random.pick(actions)()
  settle()
  const hostsAtEnd = hosts.filter(hasReachedEnd)
  compareWithReplay(hostsAtEnd, replayNaively(log.history))
  const strandedHosts = hostsAtEnd.length === 0 ? 0 : HOST_COUNT - hostsAtEnd.length
  return { ...findings, strandedHosts, restarts: restarts().length }
}
