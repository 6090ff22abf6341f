import { existsSync } from 'node:fs'
import { homedir } from 'node:os'
import { join } from 'node:path'
import { z } from 'zod'
import { BaobabdriftError, ResultCode } from '../core/index.js'
import { loadSettings } from '../nodes/settings.js'
import { CliVariable, OPERATION_TIMEOUT_MS } from './constants.js'

const callerAddress = z.string().regex(/^[^\s:/,]+:\d{1,5}$/, 'must be a host with a port')

/** Settings file of the command line. */
export const cliSettingsSchema = z.strictObject({
  logUrl: z.url().optional(),
  entries: z.array(callerAddress).optional().describe('Caller addresses of entries'),
  timeoutMs: z.number().int().positive().optional()
})

export type CliSettingsFile = z.infer<typeof cliSettingsSchema>

/** Where the log and the entries are. */
export interface CliSettings {
  logUrl: string | undefined
  entries: string[]
  timeoutMs: number
}

/** Values of the flags; oclif fills them from the environment variables of `CliVariable`. */
export interface CliFlags {
  settings?: string | undefined
  'log-url'?: string | undefined
  entries?: string | undefined
  'timeout-ms'?: number | undefined
}

/** Read if it exists and no other file is named. */
export const defaultSettingsPath = (home = homedir()): string => join(home, '.config', 'baobabdrift', 'cli.yaml')

const loadFile = (named: string | undefined, fallback: string): CliSettingsFile => {
  if (named !== undefined) return loadSettings(cliSettingsSchema, named)
  return existsSync(fallback) ? loadSettings(cliSettingsSchema, fallback) : {}
}

const parseFlags = (flags: CliFlags): CliSettingsFile => {
  const parsed = cliSettingsSchema.safeParse({
    logUrl: flags['log-url'],
    entries: flags.entries?.split(',').map(address => address.trim()).filter(address => address !== ''),
    timeoutMs: flags['timeout-ms']
  })
  if (parsed.success) return parsed.data
  const faults = parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`)
  throw new BaobabdriftError(ResultCode.BadRequest, faults.join('; '))
}

/**
 * Merges flags, environment variables and the settings file, in this order of precedence.
 *
 * @example
 * resolveCliSettings({ 'log-url': 'http://127.0.0.1:7001' }).logUrl
 * @throws SettingsError for a settings file with faults, BaobabdriftError for a malformed flag
 */
export const resolveCliSettings = (flags: CliFlags, fallbackPath = defaultSettingsPath()): CliSettings => {
  const file = loadFile(flags.settings, fallbackPath)
  const given = parseFlags(flags)
  return {
    logUrl: given.logUrl ?? file.logUrl,
    entries: given.entries ?? file.entries ?? [],
    timeoutMs: given.timeoutMs ?? file.timeoutMs ?? OPERATION_TIMEOUT_MS
  }
}

/** The log's URL; throws if nothing names it. */
export const requireLogUrl = ({ logUrl }: CliSettings): string => {
  if (logUrl !== undefined) return logUrl
  throw new BaobabdriftError(ResultCode.BadRequest, `no log: give --log-url, ${CliVariable.LogUrl} or logUrl in the settings file`)
}

/** The entries' caller addresses; throws if nothing names one. */
export const requireEntries = ({ entries }: CliSettings): string[] => {
  if (entries.length > 0) return entries
  throw new BaobabdriftError(ResultCode.BadRequest, `no entries: give --entries, ${CliVariable.Entries} or entries in the settings file`)
}
