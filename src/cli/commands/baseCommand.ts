import { createInterface } from 'node:readline/promises'
import { Command, Flags } from '@oclif/core'
import { BaobabdriftError, ResultCode } from '../../core/index.js'
import { type CliFlags, resolveCliSettings } from '../cliSettings.js'
import { CliVariable } from '../constants.js'
import type { OperationContext, OperationResult } from '../operations/index.js'

export const SETTINGS_FLAGS = {
  settings: Flags.string({ description: 'settings file, by default ~/.config/baobabdrift/cli.yaml if it exists', helpValue: 'FILE' }),
  'timeout-ms': Flags.integer({ description: 'timeout for reading the log to its end and for each verdict', min: 1 })
}

export const LOG_FLAGS = {
  ...SETTINGS_FLAGS,
  'log-url': Flags.string({ description: 'URL of the log', env: CliVariable.LogUrl, helpValue: 'URL' })
}

export const ENTRY_FLAGS = {
  ...LOG_FLAGS,
  entries: Flags.string({ description: 'caller addresses of entries, comma-separated', env: CliVariable.Entries, helpValue: 'HOST:PORT,...' })
}

export const JSON_FLAG = Flags.boolean({ description: 'print JSON' })

/** Base class of all commands: creates the context of their operations and handles their results. */
export abstract class BaseCommand extends Command {
  protected context (flags: CliFlags): OperationContext {
    return { settings: resolveCliSettings(flags), print: text => console.log(text), printDiagnostic: text => console.error(text) }
  }

  /** Throws the result as an error if the operation failed; the error sets the exit code of the process. */
  protected throwOnFailure ({ code, detail }: OperationResult): void {
    if (code !== ResultCode.Ok) throw new BaobabdriftError(code, detail)
  }

  /** Prompts on the terminal; end of input counts as no. */
  protected async confirm (question: string): Promise<boolean> {
    const reader = createInterface({ input: process.stdin, output: process.stderr })
    const inputClosed = new Promise<string>(resolve => reader.once('close', () => resolve('')))
    const answer = await Promise.race([reader.question(`${question} [y/N] `), inputClosed])
    reader.close()
    return /^y(es)?$/i.test(answer.trim())
  }
}
