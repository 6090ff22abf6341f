import { ResultCode } from '../core/index.js'

/** Exit codes of the command line, for scripts of operators. */
export enum ExitCode {
  Ok = 0,
  /** The tables refused the edit, another edit won, or what was asked for does not exist. */
  Refused = 1,
  BadInput = 2,
  Unavailable = 3,
  /** The verdict is not known; the edit may still take effect. */
  Pending = 4
}

/** Environment variables that take the place of flags. */
export enum CliVariable {
  LogUrl = 'BAOBABDRIFT_LOG_URL',
  Entries = 'BAOBABDRIFT_ENTRIES'
}

export const CLI_NAME = 'baobabdrift'
/** Entries that are asked at the same time; a fleet of 340 is asked in 11 rounds. */
export const ENTRIES_ASKED_AT_ONCE = 32
export const ENTRY_TIMEOUT_MS = 3_000
/** Time in which the log must be read to its end and each edit must get its verdict. */
export const OPERATION_TIMEOUT_MS = 30_000

/** Exit code of a command that ends with a result. */
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
