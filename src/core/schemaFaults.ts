import type { z } from 'zod'
import type { SettingsFault } from './errors.js'

/** Formats a path in a document, such as `pools[0].group.ranks`. */
export const formatPath = (path: readonly PropertyKey[], prefix = ''): string =>
  path.reduce<string>((text, key) => {
    if (typeof key === 'number') return `${text}[${key}]`
    return text === '' ? String(key) : `${text}.${String(key)}`
  }, prefix)

/**
 * Converts the issues of a schema error to faults, with paths below `prefix`. Each unknown field is a
 * separate fault with its own path.
 *
 * @example
 * const parsed = schema.safeParse(value)
 * if (!parsed.success) throw new SettingsError(toSchemaFaults(parsed.error))
 */
export const toSchemaFaults = (error: z.ZodError, prefix = ''): SettingsFault[] =>
  error.issues.flatMap(issue => issue.code === 'unrecognized_keys'
    ? issue.keys.map(key => ({ path: formatPath([...issue.path, key], prefix), text: 'unknown field' }))
    : [{ path: formatPath(issue.path, prefix) || '(file)', text: issue.message }])
