import { existsSync } from 'node:fs'
import { homedir } from 'node:os'
import { join } from 'node:path'
import { z } from 'zod'
import { BaobabdriftError, ResultCode } from '../core/index.js'
import { loadSettings } from '../nodes/settings.js'
import { CliVariable, OPERATION_TIMEOUT_MS } from './constants.js'

const callerAddress = z.string().regex(/^[^\s:/,]+:\d{1,5}$/, 'must be a host with a port')

/** Schema of the command line's settings file. */
export const cliSettingsSchema = z.strictObject({
  logUrl: z.url().optional(),
  entries: z.array(callerAddress).optional().describe('Caller addresses of entries'),
  timeoutMs: z.number().int().positive().optional()
})

export type CliSettingsFile = z.infer<typeof cliSettingsSchema>

/** Resolved addresses and timeout of the command line. */
export interface CliSettings {
  logUrl: string | undefined
  entries: string[]
  timeoutMs: number
}

/** Flag values; oclif falls back to the environment variables in `CliVariable`. */
export interface CliFlags {
  settings?: string | undefined
  'log-url'?: string | undefined
  entries?: string | undefined
  'timeout-ms'?: number | undefined
}

/** Settings file that is read if it exists and `--settings` is not given. */
export const defaultSettingsPath = (home = homedir()): string => join(home, '.config', 'baobabdrift', 'cli.yaml')

const loadFile = (explicitPath: string | undefined, defaultPath: string): CliSettingsFile => {
  if (explicitPath !== undefined) return loadSettings(cliSettingsSchema, explicitPath)
  return existsSync(defaultPath) ? loadSettings(cliSettingsSchema, defaultPath) : {}
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
 * @throws SettingsError for an invalid settings file, BaobabdriftError for a malformed flag
 */
export const resolveCliSettings = (flags: CliFlags, defaultPath = defaultSettingsPath()): CliSettings => {
  const fileSettings = loadFile(flags.settings, defaultPath)
  const flagSettings = parseFlags(flags)
  return {
    logUrl: flagSettings.logUrl ?? fileSettings.logUrl,
    entries: flagSettings.entries ?? fileSettings.entries ?? [],
    timeoutMs: flagSettings.timeoutMs ?? fileSettings.timeoutMs ?? OPERATION_TIMEOUT_MS
  }
}

/** Returns the log's URL; throws if it is not configured. */
export const requireLogUrl = ({ logUrl }: CliSettings): string => {
  if (logUrl !== undefined) return logUrl
  throw new BaobabdriftError(ResultCode.BadRequest, `no log URL: set --log-url, ${CliVariable.LogUrl} or logUrl in the settings file`)
}

/** Returns the entries' caller addresses; throws if none is configured. */
export const requireEntries = ({ entries }: CliSettings): string[] => {
  if (entries.length > 0) return entries
  throw new BaobabdriftError(ResultCode.BadRequest, `no entry addresses: set --entries, ${CliVariable.Entries} or entries in the settings file`)
}
