import { Errors } from '@oclif/core'
import { BaobabdriftError, describeResult, ResultCode, SettingsError } from '../core/index.js'
import { CLI_NAME, EXIT_CODES, ExitCode } from './constants.js'

/** Lines for stderr and exit code of a failed command. */
export interface ErrorReport {
  lines: string[]
  exitCode: number
}

const oneLine = (text: string): string => text.trim().replace(/\s*\n\s*/g, '; ')

const lineOf = (code: ResultCode, detail: string): string => {
  const { text } = describeResult(code)
  return `${CLI_NAME}: ${code} ${detail === '' || detail === text ? text : `${text}: ${oneLine(detail)}`}`
}

const isOclifError = (error: unknown): error is Error & { oclif: { exit?: number } } =>
  error instanceof Error && 'oclif' in error

/**
 * Describes an error in one line with its result code. Each error of an invalid file adds a line before it.
 *
 * @example
 * reportError(new BaobabdriftError(ResultCode.EditConflict)).exitCode // ExitCode.Refused
 */
export const reportError = (error: unknown): ErrorReport => {
  // oclif ends --help and --version by throwing an ExitError, which has nothing to report.
  if (error instanceof Errors.ExitError) return { lines: [], exitCode: error.oclif.exit ?? ExitCode.Ok }
  if (error instanceof SettingsError) {
    const lines = error.faults.map(({ path, text }) => `${path}: ${text}`)
    return { lines: [...lines, lineOf(error.code, `${lines.length} errors`)], exitCode: EXIT_CODES[error.code] }
  }
  if (error instanceof BaobabdriftError) return { lines: [lineOf(error.code, error.message)], exitCode: EXIT_CODES[error.code] }
  if (isOclifError(error)) return { lines: [lineOf(ResultCode.BadRequest, error.message)], exitCode: ExitCode.BadInput }
  const detail = error instanceof Error ? `${error.name}: ${error.message}` : String(error)
  return { lines: [lineOf(ResultCode.Internal, detail)], exitCode: EXIT_CODES[ResultCode.Internal] }
}
