import { describeResult, ResultCode } from './resultCode.js'

/** Base of all errors with a result code. */
export class BaobabdriftError extends Error {
  readonly code: ResultCode

  constructor (code: ResultCode, detail?: string, options?: ErrorOptions) {
    super(detail ?? describeResult(code).text, options)
    this.name = new.target.name
    this.code = code
  }
}

/** One fault in a settings or row file. */
export interface SettingsFault {
  /** Path inside the file, such as `pools[0].group.ranks`. */
  path: string
  text: string
}

/** A settings or row file with all of its faults. */
export class SettingsError extends BaobabdriftError {
  readonly faults: readonly SettingsFault[]

  constructor (faults: readonly SettingsFault[]) {
    super(ResultCode.SettingsInvalid, faults.map(fault => `${fault.path}: ${fault.text}`).join('\n'))
    this.faults = faults
  }
}

/** The log cannot be reached or did not confirm an operation. */
export class LogUnavailableError extends BaobabdriftError {
  constructor (detail?: string, options?: ErrorOptions) {
    super(ResultCode.LogUnavailable, detail, options)
  }
}

/** A frame that does not decode, is oversize or arrives in the wrong state. */
export class FrameError extends BaobabdriftError {
  constructor (detail: string, options?: ErrorOptions) {
    super(ResultCode.FrameInvalid, detail, options)
  }
}
