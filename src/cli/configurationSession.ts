import { randomUUID } from 'node:crypto'
import { type Clock, createRandom, dispatch, type HandlerTable, hash32, type LogClient, LogUnavailableError, ResultCode, type Task } from '../core/index.js'
import {
  baseOffsetOf, CONFIGURATION_STREAM, ConfigurationEffectKind, type ConfigurationMessage, type ConfigurationOwnEffect,
  ConfigurationRecordKind, createConfigurationReader, createEditSubmitter, createFollowerTask, diffRows, type Edit,
  type EditVerdict, FollowerMessageKind, type Row, type RowChange, RowChangeKind, RowKind, rowKeyOf, type RowVersion, type SubmitEffect, SubmitEffectKind,
  type SubmitMessage, SubmitMessageKind, toConfigurationPage, toConfigurationRecord
} from '../configuration/index.js'

const SUBMIT_TICK_MS = 100
const READ_RETRY_MS = 250

/**
 * A change with the offset of the row version that it was computed from. If another operator edits
 * the row after the diff was shown, the change must end in a conflict and not overwrite that edit.
 */
export interface PlannedChange extends RowChange {
  baseOffset: number
}

/** Result of one change that was submitted by `apply`. */
export interface AppliedChange {
  change: PlannedChange
  editId: string
  code: ResultCode
  verdict?: EditVerdict
}

/** Access of the command line to the rows in the configuration stream. */
export interface ConfigurationSession {
  /** Reads the log to its end; rejects with LogUnavailableError on timeout. */
  readToEnd (): Promise<void>
  rows (): Row[]
  versions (): RowVersion[]
  diff (wanted: readonly Row[], isPruning: boolean): PlannedChange[]
  /** Plans the edit that evacuates a failure domain or gives it back; undefined if that is in effect already. */
  planEvacuation (domain: string, isEvacuated: boolean): PlannedChange | undefined
  /** Appends an edit per change and waits for the verdict of each; stops at the first that is not accepted. */
  apply (changes: readonly PlannedChange[], onSettled?: (applied: AppliedChange) => void): Promise<AppliedChange[]>
  onVersions (listener: (versions: readonly RowVersion[]) => void): void
  close (): void
}

export interface ConfigurationSessionOptions {
  client: LogClient
  clock: Clock
  timeoutMs: number
}

/**
 * Opens the configuration stream for the command line.
 *
 * @example
 * const session = createConfigurationSession({ client, clock, timeoutMs: 10_000 })
 * await session.readToEnd()
 * await session.apply(session.diff(rows, false))
 */
export const createConfigurationSession = (
  { client, clock, timeoutMs }: ConfigurationSessionOptions
): ConfigurationSession => {
  const versions = new Map<string, RowVersion>()
  const versionListeners: ((changed: readonly RowVersion[]) => void)[] = []
  const verdictListeners = new Set<(verdict: EditVerdict) => void>()
  const endListeners = new Map<string, (isReached: boolean) => void>()

  const onOwnEffect: { [Kind in ConfigurationOwnEffect['kind']]: (effect: Extract<ConfigurationOwnEffect, { kind: Kind }>) => void } = {
    [ConfigurationEffectKind.RowsAccepted]: effect => {
      for (const version of effect.versions) versions.set(rowKeyOf(version), version)
      versionListeners.forEach(listener => listener(effect.versions))
    },
    [ConfigurationEffectKind.VerdictReached]: ({ verdict }) => verdictListeners.forEach(listener => listener(verdict)),
    // Nothing to do: the entries append lost edits again.
    [ConfigurationEffectKind.EditsLost]: () => {}
  }

  const task: Task<ConfigurationMessage> = createFollowerTask({
    stream: CONFIGURATION_STREAM,
    client,
    // The command line runs for a few seconds only and never appends snapshots.
    core: createConfigurationReader({ clock, random: createRandom(hash32(randomUUID())), retentionMs: Number.MAX_SAFE_INTEGER }),
    toPage: toConfigurationPage,
    toSnapshotRecord: snapshot => toConfigurationRecord({ kind: ConfigurationRecordKind.Snapshot, snapshot }),
    askPeers: () => {},
    sendState: () => {},
    onOwnEffect: effect => (onOwnEffect[effect.kind] as (effect: ConfigurationOwnEffect) => void)(effect),
    onEnd: (requestId, isReached) => {
      endListeners.get(requestId)?.(isReached)
      endListeners.delete(requestId)
    }
  })

  const requestReadToEnd = () => new Promise<boolean>(resolve => {
    const requestId = randomUUID()
    endListeners.set(requestId, resolve)
    task.post({ kind: FollowerMessageKind.EndRequested, requestId })
  })

  /** Has a timeout, because a reader at a gap that no snapshot covers never reaches the end of the log. */
  const requestReadToEndWithin = async (limitMs: number): Promise<boolean> => {
    let timer: NodeJS.Timeout | undefined
    const timeout = new Promise<boolean>(resolve => { timer = setTimeout(() => resolve(false), limitMs) })
    try {
      return await Promise.race([requestReadToEnd(), timeout])
    } finally {
      clearTimeout(timer)
    }
  }

  const readToEnd = async () => {
    const deadlineMs = clock.nowMs() + timeoutMs
    while (!await requestReadToEndWithin(Math.max(1, deadlineMs - clock.nowMs()))) {
      if (clock.nowMs() >= deadlineMs) {
        // Reads directly, so that the log's own error is thrown if it can't be read.
        await client.read(CONFIGURATION_STREAM, 1, 1)
        throw new LogUnavailableError(`stream ${CONFIGURATION_STREAM} could not be read to its end within ${timeoutMs} ms`)
      }
      await new Promise(resolve => setTimeout(resolve, READ_RETRY_MS))
    }
  }

  const rows = () => [...versions.values()].flatMap(({ row }) => row === null || row.kind === RowKind.Evacuation ? [] : [row])

  const planEvacuation = (domain: string, isEvacuated: boolean): PlannedChange | undefined => {
    const identity = { kind: RowKind.Evacuation as const, name: domain }
    const before = versions.get(rowKeyOf(identity))?.row ?? null
    if ((before !== null) === isEvacuated) return undefined
    const change = isEvacuated ? RowChangeKind.Added : RowChangeKind.Removed
    return { ...identity, change, before, after: isEvacuated ? identity : null, paths: [], baseOffset: baseOffsetOf(versions, identity) }
  }

  const toEdit = ({ kind, name, after, baseOffset }: PlannedChange): Edit =>
    ({ editId: randomUUID(), kind, name, baseOffset, row: after })

  const submit = (change: PlannedChange): Promise<AppliedChange> => new Promise(resolve => {
    const edit = toEdit(change)
    const submitter = createEditSubmitter({ edit, clock, timeoutMs })

    const post = (message: SubmitMessage) => {
      for (const effect of submitter.handle(message)) dispatch(effectHandlers, effect)
    }
    const onVerdict = (verdict: EditVerdict) => post({ kind: SubmitMessageKind.VerdictReached, verdict })
    const timer = setInterval(() => post({ kind: SubmitMessageKind.Tick }), SUBMIT_TICK_MS)

    const append = async (edit: Edit) => {
      try {
        const record = toConfigurationRecord({ kind: ConfigurationRecordKind.Edit, edit, faults: [] })
        post({ kind: SubmitMessageKind.AppendReplied, offset: await client.append(CONFIGURATION_STREAM, record) })
      } catch {
        post({ kind: SubmitMessageKind.AppendFailed })
      }
    }

    const effectHandlers: HandlerTable<SubmitEffect, void> = {
      [SubmitEffectKind.AppendEdit]: effect => { append(effect.edit) },
      [SubmitEffectKind.ReadLogToEnd]: async () => {
        const isReached = await requestReadToEnd()
        post({ kind: isReached ? SubmitMessageKind.LogReadToEnd : SubmitMessageKind.LogReadFailed })
      },
      [SubmitEffectKind.Settled]: ({ code, verdict }) => {
        clearInterval(timer)
        verdictListeners.delete(onVerdict)
        resolve({ change, editId: edit.editId, code, ...(verdict === undefined ? {} : { verdict }) })
      }
    }

    verdictListeners.add(onVerdict)
    post({ kind: SubmitMessageKind.Tick })
  })

  return {
    readToEnd,
    rows,
    versions: () => [...versions.values()],
    diff: (wanted, isPruning) => {
      const changes = diffRows(rows(), wanted).map(change => ({ ...change, baseOffset: baseOffsetOf(versions, change) }))
      return isPruning ? changes : changes.filter(({ after }) => after !== null)
    },
    planEvacuation,
    apply: async (changes, onSettled) => {
      const applied: AppliedChange[] = []
      for (const change of changes) {
        const result = await submit(change)
        applied.push(result)
        onSettled?.(result)
        if (result.code !== ResultCode.EditAccepted) break
      }
      return applied
    },
    onVersions: listener => { versionListeners.push(listener) },
    close: () => task.stop()
  }
}
