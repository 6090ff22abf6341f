import { encode } from 'cbor-x'
import {
  type ConfigurationDocument, type ConfigurationEffect, ConfigurationRecordKind, createConfigurationReader, FollowerEffectKind,
  FollowerMessageKind, type Row, RowKind, rowKeyOf, SNAPSHOT_EARLIEST_SHARE, SNAPSHOT_LATEST_SHARE, toConfigurationRecord
} from '../../src/configuration/index.js'
import { createManualClock, createRandom, hash32 } from '../../src/core/index.js'
import { samplePool, sampleRoute } from './sampleRows.js'

export interface SnapshotBytes {
  /** Mean size of a snapshot of the changed rows over that of a full snapshot taken at the same time. */
  recordRatio: number
  /**
   * Log bytes of full snapshots that alternate with snapshots of the changed rows, over those of the full ones
   * alone. It is always above 1: a snapshot of changed rows needs a full one that is still retained, so full
   * snapshots are due at the same times in both cases.
   */
  logRatio: number
  fullBytes: number
}

const POOL_COUNT = 20
const ROUTE_COUNT = 60
const EDITS_PER_DAY = 570
const DAY_MS = 86_400_000
const DAYS = 5

const createRows = (): Row[] => [
  ...Array.from({ length: POOL_COUNT }, (_, i) => samplePool(`pool-${i}`)),
  ...Array.from({ length: ROUTE_COUNT }, (_, i) => sampleRoute(`route-${i}`, `pool-${i % POOL_COUNT}`))
]

const editRow = (row: Row, step: number): Row => row.kind === RowKind.Pool
  ? { ...row, movesAtOnceMax: 1 + step % 7 }
  : { ...row, deadlineMs: 5_000 + step % 9_000 }

const bytesOf = (document: ConfigurationDocument, takenMs: number): number =>
  encode(toConfigurationRecord({ kind: ConfigurationRecordKind.Snapshot, snapshot: { document, takenMs } })).length

/** Keeps only the rows and verdicts that changed after the full snapshot at `baseOffset`. */
const changedSince = (document: ConfigurationDocument, baseOffset: number): ConfigurationDocument => ({
  ...document,
  versions: document.versions.filter(({ offset }) => offset > baseOffset),
  verdicts: document.verdicts.filter(({ offset }) => offset > baseOffset)
})

/** Measures snapshot sizes with 20 pools, 60 routes and 570 edits per day, spread evenly over the rows. */
export const measureSnapshotBytes = ({ seed, retentionMs }: { seed: number, retentionMs: number }): SnapshotBytes => {
  const random = createRandom(hash32(`snapshots/${seed}`))
  const clock = createManualClock(1_000_000)
  const reader = createConfigurationReader({ clock, random, retentionMs })
  const rows = createRows()
  const offsetByKey = new Map<string, number>()
  let offset = 0

  const append = (row: Row): ConfigurationEffect[] => {
    offset += 1
    const key = rowKeyOf(row)
    const editId = `${hash32(`edit-${offset}`).toString(16)}-${hash32(`id-${offset}`).toString(16)}`
    const edit = { editId, kind: row.kind, name: row.name, baseOffset: offsetByKey.get(key) ?? 0, row }
    offsetByKey.set(key, offset)
    const record = { offset, timeMs: clock.nowMs(), body: { kind: ConfigurationRecordKind.Edit as const, edit, faults: [] } }
    return reader.handle({
      kind: FollowerMessageKind.LogPageRead, readId: 0, records: [record], firstOffset: 1, nextOffset: offset + 1
    })
  }

  const readDocument = (): ConfigurationDocument => {
    const [effect] = reader.handle({ kind: FollowerMessageKind.PeerStateRequested, peerId: 'bench', aboveOffset: -1 })
    if (effect?.kind !== FollowerEffectKind.SendState) throw new Error('the configuration reader has no state to send')
    return effect.document
  }

  for (const row of rows) append(row)
  // Full snapshots have the mean interval of the random schedule, those of the changed rows lie halfway between.
  const halfPeriodMs = retentionMs * (SNAPSHOT_EARLIEST_SHARE + SNAPSHOT_LATEST_SHARE) / 4
  const totals = { full: 0, changed: 0, fullAtChanged: 0, fullCount: 0 }
  let baseOffset = offset
  let isFullNext = false
  let dueMs = clock.nowMs() + halfPeriodMs

  const takeSnapshot = () => {
    const document = readDocument()
    const fullBytes = bytesOf(document, clock.nowMs())
    if (isFullNext) {
      totals.full += fullBytes
      totals.fullCount += 1
      baseOffset = document.offset
    } else {
      totals.changed += bytesOf(changedSince(document, baseOffset), clock.nowMs())
      totals.fullAtChanged += fullBytes
    }
    isFullNext = !isFullNext
  }

  for (let step = 0; step < EDITS_PER_DAY * DAYS; step++) {
    clock.advance(DAY_MS / EDITS_PER_DAY)
    for (; dueMs <= clock.nowMs(); dueMs += halfPeriodMs) takeSnapshot()
    append(editRow(random.pick(rows), step))
  }
  return {
    recordRatio: totals.changed / totals.fullAtChanged,
    logRatio: (totals.full + totals.changed) / totals.full,
    fullBytes: totals.full / totals.fullCount
  }
}
