import { ResultCode } from '../core/index.js'

/** Exit codes of the command line, which operators' scripts depend on. */
export enum ExitCode {
  Ok = 0,
  /** The edit was refused or conflicts with another one, or the requested item does not exist. */
  Refused = 1,
  BadInput = 2,
  Unavailable = 3,
  /** The verdict is not known yet; the edit may still take effect. */
  Pending = 4
}

/** Environment variables that are used if a flag is absent. */
export enum CliVariable {
  LogUrl = 'BAOBABDRIFT_LOG_URL',
  Entries = 'BAOBABDRIFT_ENTRIES'
}

export const CLI_NAME = 'baobabdrift'
/** Entries that are queried concurrently; a fleet of 340 entries takes 11 batches. */
export const CONCURRENT_ENTRY_QUERIES_MAX = 32
export const ENTRY_TIMEOUT_MS = 3_000
/** Timeout for reading the log to its end, and for the verdict on each edit. */
export const OPERATION_TIMEOUT_MS = 30_000

/** Exit code for each result code. */
export const EXIT_CODES: Record<ResultCode, ExitCode> = {
  [ResultCode.Ok]: ExitCode.Ok,

  [ResultCode.BadRequest]: ExitCode.BadInput,
  [ResultCode.NoRoute]: ExitCode.BadInput,
  [ResultCode.MissingIdempotencyKey]: ExitCode.BadInput,
  [ResultCode.InvalidIdempotencyKey]: ExitCode.BadInput,
  [ResultCode.KeyReusedWithOtherBody]: ExitCode.BadInput,
  [ResultCode.RequestTooLarge]: ExitCode.BadInput,
  [ResultCode.MissingCustomer]: ExitCode.BadInput,
  [ResultCode.UnknownApiKey]: ExitCode.BadInput,

  [ResultCode.CustomerRateLimited]: ExitCode.Refused,
  [ResultCode.CustomerConcurrencyLimited]: ExitCode.Refused,
  [ResultCode.Overloaded]: ExitCode.Refused,
  [ResultCode.DeadlineUnreachable]: ExitCode.Refused,
  [ResultCode.RetryBudgetExhausted]: ExitCode.Refused,
  [ResultCode.NoUpstream]: ExitCode.Unavailable,
  [ResultCode.Draining]: ExitCode.Unavailable,
  [ResultCode.Quarantined]: ExitCode.Refused,
  [ResultCode.KeyTableFull]: ExitCode.Refused,
  [ResultCode.SuspectBusy]: ExitCode.Refused,
  [ResultCode.NotReady]: ExitCode.Refused,
  [ResultCode.Unsendable]: ExitCode.Refused,
  [ResultCode.AllEvacuated]: ExitCode.Refused,
  [ResultCode.BodyIncomplete]: ExitCode.Refused,
  [ResultCode.CallerBudgetSpent]: ExitCode.Refused,

  [ResultCode.LogUnavailable]: ExitCode.Unavailable,
  [ResultCode.KeyOutsideWindow]: ExitCode.Refused,
  [ResultCode.BoundAgentGone]: ExitCode.Unavailable,
  [ResultCode.AnswerNotKept]: ExitCode.Refused,
  [ResultCode.AnswerLost]: ExitCode.Unavailable,
  [ResultCode.UpstreamDied]: ExitCode.Unavailable,
  [ResultCode.DeadlineExceeded]: ExitCode.Unavailable,
  [ResultCode.BindingUnavailable]: ExitCode.Unavailable,
  [ResultCode.UpstreamRefused]: ExitCode.Unavailable,
  [ResultCode.CallerGone]: ExitCode.Refused,
  [ResultCode.KeyUnbound]: ExitCode.Refused,

  [ResultCode.EditAccepted]: ExitCode.Ok,
  [ResultCode.EditConflict]: ExitCode.Refused,
  [ResultCode.EditInvalid]: ExitCode.Refused,
  [ResultCode.EditDuplicate]: ExitCode.Ok,
  [ResultCode.EditPending]: ExitCode.Pending,
  [ResultCode.SettingsInvalid]: ExitCode.BadInput,
  [ResultCode.NotFound]: ExitCode.Refused,

  [ResultCode.FenceSuperseded]: ExitCode.Refused,
  [ResultCode.OrderFailed]: ExitCode.Refused,
  [ResultCode.MapSwitchAborted]: ExitCode.Refused,

  [ResultCode.LinkRefused]: ExitCode.Refused,
  [ResultCode.FrameInvalid]: ExitCode.Refused,
  [ResultCode.Internal]: ExitCode.Refused
}
