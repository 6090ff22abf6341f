import { describeResult, ResultCode } from './resultCode.js'

/** Base class of errors with a result code. */
export class BaobabdriftError extends Error {
  readonly code: ResultCode

  constructor (code: ResultCode, detail?: string, options?: ErrorOptions) {
    super(detail ?? describeResult(code).text, options)
    this.name = new.target.name
    this.code = code
  }
}

/** One validation fault in a settings or row file. */
export interface SettingsFault {
  /** Path in the file, such as `pools[0].group.ranks`. */
  path: string
  text: string
}

/** A settings or row file is invalid; carries all of its faults. */
export class SettingsError extends BaobabdriftError {
  readonly faults: readonly SettingsFault[]

  constructor (faults: readonly SettingsFault[]) {
    super(ResultCode.SettingsInvalid, faults.map(fault => `${fault.path}: ${fault.text}`).join('\n'))
    this.faults = faults
  }
}

/** The log is unreachable or did not confirm an operation. */
export class LogUnavailableError extends BaobabdriftError {
  constructor (detail?: string, options?: ErrorOptions) {
    super(ResultCode.LogUnavailable, detail, options)
  }
}

/** A frame cannot be decoded, is too large or is not allowed in the current state. */
export class FrameError extends BaobabdriftError {
  constructor (detail: string, options?: ErrorOptions) {
    super(ResultCode.FrameInvalid, detail, options)
  }
}
