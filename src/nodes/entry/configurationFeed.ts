import { type Clock, createLog, FrameError, type LogClient, LogUnavailableError, type Random, type Task } from '../../core/index.js'
import {
  CONFIGURATION_STREAM, type ConfigurationDocument, configurationDocumentSchema, ConfigurationEffectKind,
  type ConfigurationMessage, type ConfigurationOwnEffect, ConfigurationRecordKind, createConfigurationReader,
  createFollowerTask, FollowerMessageKind, toConfigurationPage, toConfigurationRecord
} from '../../configuration/index.js'
import type { Frame } from '../../links/index.js'
import { parsePeerState, parsePeerStateRequest, toPeerState, toPeerStateRequest } from './peerStateFrames.js'
import type { RowTable } from './rowTable.js'

const log = createLog('configuration')

export interface ConfigurationFeedOptions {
  client: LogClient
  clock: Clock
  random: Random
  retentionMs: number
  table: RowTable
  /** Sends a frame to a few other entries. */
  sendToPeers: (frame: Frame) => void
  /** Sends a frame to one entry by its link address. */
  sendToPeer: (address: string, frame: Frame) => void
  ownAddress: () => string
  onRowsChanged: (offset: number) => void
  onLogFailure: () => void
}

export interface ConfigurationFeed {
  /** Handles another entry's request for the configuration, or its reply to ours. */
  onPeerStateRequest (frame: Frame): void
  onPeerState (frame: Frame): void
  onOffsetSeen (offset: number): void
  stop (): void
}

/**
 * Follows the configuration stream, applies it to the row table of an entry, and exchanges the
 * configuration with other entries while the log is unavailable.
 *
 * @example
 * const feed = createConfigurationFeed({ client, clock, random, retentionMs, table, ... })
 */
export const createConfigurationFeed = ({
  client, clock, random, retentionMs, table, sendToPeers, sendToPeer, ownAddress, onRowsChanged, onLogFailure
}: ConfigurationFeedOptions): ConfigurationFeed => {
  const append = async (body: Parameters<typeof toConfigurationRecord>[0]) => {
    try {
      await client.append(CONFIGURATION_STREAM, toConfigurationRecord(body))
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error
      log('failed to append configuration record %s: %s', body.kind, error.message)
      onLogFailure()
    }
  }

  const onOwnEffect: { [Kind in ConfigurationOwnEffect['kind']]: (effect: Extract<ConfigurationOwnEffect, { kind: Kind }>) => void } = {
    [ConfigurationEffectKind.RowsAccepted]: ({ offset, versions }) => {
      table.apply(offset, versions)
      log('applied configuration at offset %d', offset)
      onRowsChanged(offset)
    },
    [ConfigurationEffectKind.VerdictReached]: ({ verdict }) => log('edit %s ended with code %d', verdict.editId, verdict.code),
    [ConfigurationEffectKind.EditsLost]: ({ edits }) => {
      for (const edit of edits) {
        log('edit %s was lost when the configuration was restored; appending it again', edit.editId)
        append({ kind: ConfigurationRecordKind.Edit, edit, faults: [] })
      }
    }
  }

  const task: Task<ConfigurationMessage> = createFollowerTask({
    stream: CONFIGURATION_STREAM,
    client,
    core: createConfigurationReader({ clock, random, retentionMs }),
    toPage: toConfigurationPage,
    toSnapshotRecord: snapshot => toConfigurationRecord({ kind: ConfigurationRecordKind.Snapshot, snapshot }),
    askPeers: aboveOffset => sendToPeers(toPeerStateRequest(CONFIGURATION_STREAM, aboveOffset, ownAddress())),
    sendState: (peerAddress, document: ConfigurationDocument, retainedSinceMs) =>
      sendToPeer(peerAddress, toPeerState(CONFIGURATION_STREAM, document, retainedSinceMs)),
    onOwnEffect: effect => (onOwnEffect[effect.kind] as (effect: ConfigurationOwnEffect) => void)(effect),
    onLogFailure,
    onGapPersists: (readOffset, replayed) => {
      if (replayed === undefined) return
      log('no reader has the records after offset %d; appending the configuration of this entry', readOffset)
      append({ kind: ConfigurationRecordKind.Restart, document: replayed, readOffset })
    }
  })

  return {
    onPeerStateRequest: frame => {
      const { replyAddress, aboveOffset } = parsePeerStateRequest(frame)
      task.post({ kind: FollowerMessageKind.PeerStateRequested, peerId: replyAddress, aboveOffset })
    },
    onPeerState: frame => {
      const { document, retainedSinceMs } = parsePeerState(frame)
      const parsed = configurationDocumentSchema.safeParse(document)
      if (!parsed.success) throw new FrameError('peer state frame does not contain a configuration document')
      task.post({
        kind: FollowerMessageKind.PeerStateReceived, document: parsed.data, retainedSinceMs: retainedSinceMs ?? undefined
      })
    },
    onOffsetSeen: offset => task.post({ kind: FollowerMessageKind.OffsetSeen, offset }),
    stop: () => task.stop()
  }
}
