import { fingerprint } from '../../core/index.js'

/** Length of a prompt block; prefix matching compares whole blocks only. */
export const PROMPT_BLOCK_CHARACTERS = 256
const PROMPT_BLOCKS_MAX = 64
const CHARACTERS_PER_TOKEN = 4
const DEFAULT_MAX_TOKENS = 16

/** Properties of a model request that routing uses. */
export interface PromptShape {
  model: string | undefined
  /** Fingerprints of the prompt's prefixes, each one block longer than the one before. */
  blocks: string[]
  estimatedTokens: number
  isEventStream: boolean
}

const textOf = (body: Record<string, unknown>): string => {
  if (typeof body.prompt === 'string') return body.prompt
  if (!Array.isArray(body.messages)) return ''
  return body.messages.map(message => String((message as { content?: unknown } | null)?.content ?? '')).join('\n')
}

/**
 * Reads the properties used for routing from the body of a completions request.
 *
 * @example
 * readPromptShape({ model: 'quote-model', prompt: 'ridge 12 m', stream: true }).estimatedTokens
 */
export const readPromptShape = (body: Record<string, unknown>): PromptShape => {
  const text = textOf(body)
  const blocks: string[] = []
  for (let end = PROMPT_BLOCK_CHARACTERS; end <= text.length && blocks.length < PROMPT_BLOCKS_MAX; end += PROMPT_BLOCK_CHARACTERS) {
    blocks.push(fingerprint(text.slice(0, end)))
  }
  const maxTokens = typeof body.max_tokens === 'number' ? body.max_tokens : DEFAULT_MAX_TOKENS
  return {
    model: typeof body.model === 'string' ? body.model : undefined,
    blocks,
    estimatedTokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN) + maxTokens,
    isEventStream: body.stream === true
  }
}
