import type { z } from 'zod'
import type { SettingsFault } from './errors.js'

/** Formats a path inside a document, such as `pools[0].group.ranks`. */
export const formatPath = (path: readonly PropertyKey[], prefix = ''): string =>
  path.reduce<string>((text, key) => {
    if (typeof key === 'number') return `${text}[${key}]`
    return text === '' ? String(key) : `${text}.${String(key)}`
  }, prefix)

/**
 * All faults of a value against its schema, with their paths below `prefix`; an unknown field is a
 * fault at its own path.
 *
 * @example
 * const parsed = schema.safeParse(value)
 * if (!parsed.success) throw new SettingsError(toSchemaFaults(parsed.error))
 */
export const toSchemaFaults = (error: z.ZodError, prefix = ''): SettingsFault[] =>
  error.issues.flatMap(issue => issue.code === 'unrecognized_keys'
    ? issue.keys.map(key => ({ path: formatPath([...issue.path, key], prefix), text: 'unknown field' }))
    : [{ path: formatPath(issue.path, prefix) || '(file)', text: issue.message }])
