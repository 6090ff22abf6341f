import { randomUUID } from 'node:crypto'
import { type Clock, createRandom, hash32, ResultCode, type Task } from '../core/index.js'
import {
  baseOffsetOf, CONFIGURATION_STREAM, ConfigurationEffectKind, type ConfigurationMessage, type ConfigurationOwnEffect,
  ConfigurationRecordKind, createConfigurationReader, createEditSubmitter, createFollowerTask, diffRows, type Edit,
  type EditVerdict, FollowerMessageKind, type Row, type RowChange, rowKeyOf, type RowVersion, SubmitEffectKind,
  type SubmitMessage, SubmitMessageKind, toConfigurationPage, toConfigurationRecord
} from '../configuration/index.js'
import type { LogClient } from '../platform/index.js'

const SUBMIT_TICK_MS = 100
const READ_RETRY_MS = 250

/** Verdict on one change of an apply. */
export interface AppliedChange {
  change: RowChange
  code: ResultCode
  verdict?: EditVerdict
}

/** The tables as the command line reads and edits them. */
export interface ConfigurationSession {
  /** Reads the log to its end; rejects with LogUnavailableError when the time is over. */
  readToEnd (): Promise<void>
  rows (): Row[]
  versions (): RowVersion[]
  diff (wanted: readonly Row[], isPruning: boolean): RowChange[]
  /** Appends an edit per change and waits for the verdict of each; stops at the first that is not accepted. */
  apply (changes: readonly RowChange[]): Promise<AppliedChange[]>
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
    [ConfigurationEffectKind.VerdictReached]: ({ verdict }) => verdictListeners.forEach(listener => listener(verdict))
  }

  const task: Task<ConfigurationMessage> = createFollowerTask({
    stream: CONFIGURATION_STREAM,
    client,
    // The command line never appends snapshots: it lives for seconds only.
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

  const requestEnd = () => new Promise<boolean>(resolve => {
    const requestId = randomUUID()
    endListeners.set(requestId, resolve)
    task.post({ kind: FollowerMessageKind.EndRequested, requestId })
  })

  const readToEnd = async () => {
    const limitMs = clock.nowMs() + timeoutMs
    while (!await requestEnd()) {
      // A direct read reports why the log can't be read.
      if (clock.nowMs() >= limitMs) await client.read(CONFIGURATION_STREAM, 1, 1)
      await new Promise(resolve => setTimeout(resolve, READ_RETRY_MS))
    }
  }

  const rows = () => [...versions.values()].flatMap(({ row }) => row === null ? [] : [row])

  const toEdit = ({ kind, name, after }: RowChange): Edit =>
    ({ editId: randomUUID(), kind, name, baseOffset: baseOffsetOf(versions, { kind, name }), row: after })

  const submit = (change: RowChange): Promise<AppliedChange> => new Promise(resolve => {
    const submitter = createEditSubmitter({ edit: toEdit(change), clock, timeoutMs })

    const post = (message: SubmitMessage) => {
      for (const effect of submitter.handle(message)) performers[effect.kind](effect as never)
    }
    const onVerdict = (verdict: EditVerdict) => post({ kind: SubmitMessageKind.VerdictReached, verdict })
    const timer = setInterval(() => post({ kind: SubmitMessageKind.Tick }), SUBMIT_TICK_MS)

    const append = async (edit: Edit) => {
      try {
        const record = toConfigurationRecord({ kind: ConfigurationRecordKind.Edit, edit, faults: [] })
        post({ kind: SubmitMessageKind.AppendAnswered, offset: await client.append(CONFIGURATION_STREAM, record) })
      } catch {
        post({ kind: SubmitMessageKind.AppendFailed })
      }
    }

    const performers = {
      [SubmitEffectKind.AppendEdit]: ({ edit }: { edit: Edit }) => { append(edit) },
      [SubmitEffectKind.ReadLogToEnd]: async () => {
        const isReached = await requestEnd()
        post({ kind: isReached ? SubmitMessageKind.LogReadToEnd : SubmitMessageKind.LogReadFailed })
      },
      [SubmitEffectKind.Settled]: ({ code, verdict }: { code: ResultCode, verdict?: EditVerdict }) => {
        clearInterval(timer)
        verdictListeners.delete(onVerdict)
        resolve({ change, code, ...(verdict === undefined ? {} : { verdict }) })
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
      const changes = diffRows(rows(), wanted)
      return isPruning ? changes : changes.filter(({ after }) => after !== null)
    },
    apply: async changes => {
      const applied: AppliedChange[] = []
      for (const change of changes) {
        const result = await submit(change)
        applied.push(result)
        if (result.code !== ResultCode.EditAccepted) break
      }
      return applied
    },
    onVersions: listener => { versionListeners.push(listener) },
    close: () => task.stop()
  }
}
