import { createInterface } from 'node:readline/promises'
import { Command, Flags } from '@oclif/core'
import { BaobabdriftError, ResultCode } from '../../core/index.js'
import { type CliFlags, resolveCliSettings } from '../cliSettings.js'
import { CliVariable } from '../constants.js'
import type { OperationContext, OperationResult } from '../operations/index.js'

export const SETTINGS_FLAGS = {
  settings: Flags.string({ description: 'settings file, ~/.config/baobabdrift/cli.yaml if it exists', helpValue: 'FILE' }),
  'timeout-ms': Flags.integer({ description: 'time to read the log, and to wait for each verdict', min: 1 })
}

export const LOG_FLAGS = {
  ...SETTINGS_FLAGS,
  'log-url': Flags.string({ description: 'URL of the log', env: CliVariable.LogUrl, helpValue: 'URL' })
}

export const ENTRY_FLAGS = {
  ...LOG_FLAGS,
  entries: Flags.string({ description: 'caller addresses of entries, with commas', env: CliVariable.Entries, helpValue: 'HOST:PORT,...' })
}

export const JSON_FLAG = Flags.boolean({ description: 'print JSON' })

/** Shared parts of all commands: the context of their operations and their end. */
export abstract class BaseCommand extends Command {
  protected context (flags: CliFlags): OperationContext {
    return { settings: resolveCliSettings(flags), print: text => console.log(text), note: text => console.error(text) }
  }

  /** Ends the command: a result that is not a success becomes the error of the process. */
  protected finish ({ code, detail }: OperationResult): void {
    if (code !== ResultCode.Ok) throw new BaobabdriftError(code, detail)
  }

  /** Asks on the terminal; the end of the input counts as no. */
  protected async confirm (question: string): Promise<boolean> {
    const reader = createInterface({ input: process.stdin, output: process.stderr })
    const isEnded = new Promise<string>(resolve => reader.once('close', () => resolve('')))
    const answer = await Promise.race([reader.question(`${question} [y/N] `), isEnded])
    reader.close()
    return /^y(es)?$/i.test(answer.trim())
  }
}
