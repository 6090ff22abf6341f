import type { LogPage } from '../core/index.js'
import type { BindingRecord, BindReply, BindRequest } from './types.js'

/** Messages that the owner of shards handles. */
export enum OwnerMessageKind {
  ShardGained = 'shard-gained',
  ShardLost = 'shard-lost',
  BindRequested = 'bind-requested',
  PageRead = 'page-read',
  ReadFailed = 'read-failed',
  AppendDone = 'append-done',
  /** The append may nevertheless have taken effect. */
  AppendFailed = 'append-failed',
  /** The longest window of all pools has changed. */
  WindowChanged = 'window-changed',
  Tick = 'tick'
}

/** `ticket` is the one from the `Read` or `Append` effect that the message reports on. */
export type OwnerMessage =
  | { kind: OwnerMessageKind.ShardGained, shard: number }
  | { kind: OwnerMessageKind.ShardLost, shard: number }
  | { kind: OwnerMessageKind.BindRequested, from: string, request: BindRequest }
  | { kind: OwnerMessageKind.PageRead, shard: number, ticket: number, page: LogPage }
  | { kind: OwnerMessageKind.ReadFailed, shard: number, ticket: number }
  | { kind: OwnerMessageKind.AppendDone, shard: number, ticket: number, offset: number }
  | { kind: OwnerMessageKind.AppendFailed, shard: number, ticket: number }
  | { kind: OwnerMessageKind.WindowChanged, windowMs: number }
  | { kind: OwnerMessageKind.Tick }

/** Effects of the owner of shards. */
export enum OwnerEffectKind {
  Append = 'append',
  Read = 'read',
  Reply = 'reply',
  /** The log does not retain the whole window; calls with keys older than `floorMs` end as unknown. */
  RetentionTooShort = 'retention-too-short'
}

export type OwnerEffect =
  | { kind: OwnerEffectKind.Append, shard: number, ticket: number, stream: string, record: BindingRecord }
  | { kind: OwnerEffectKind.Read, shard: number, ticket: number, stream: string, fromOffset: number, recordsMax: number }
  | { kind: OwnerEffectKind.Reply, to: string, reply: BindReply }
  | { kind: OwnerEffectKind.RetentionTooShort, shard: number, floorMs: number }

/** Safety rules; tests disable them to verify that the checks detect the violation. */
export interface OwnerRules {
  /** Replies only after the log has been read up to the owner's own record. */
  readsBeforeReply: boolean
  /** A rebind takes effect only if it names the binding in effect. */
  rebindNamesBinding: boolean
  /** Refuses keys whose record may have been dropped. */
  refusesForgottenKeys: boolean
}

export const OWNER_RULES: OwnerRules = {
  readsBeforeReply: true, rebindNamesBinding: true, refusesForgottenKeys: true
}
