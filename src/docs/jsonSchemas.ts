import { z } from 'zod'
import { rowSchema } from '../configuration/index.js'
import { agentSettingsSchema, entrySettingsSchema } from '../nodes/settings.js'

const toText = (schema: z.ZodType, title: string): string =>
  `${JSON.stringify({ title, ...z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) }, null, 2)}\n`

/** JSON schemas for editors, by path; generated from the schemas that the programs validate against. */
export const renderJsonSchemas = (): Record<string, string> => ({
  'schemas/row.schema.json': toText(rowSchema, 'baobabdrift route or pool'),
  'schemas/entry.schema.json': toText(entrySettingsSchema, 'baobabdrift-entry settings'),
  'schemas/agent.schema.json': toText(agentSettingsSchema, 'baobabdrift-agent settings')
})
