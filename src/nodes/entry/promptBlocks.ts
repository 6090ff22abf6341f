import { fingerprint } from '../../core/index.js'

/** Length of a prompt block; prefix matching compares whole blocks only. */
export const PROMPT_BLOCK_CHARACTERS = 256
const PROMPT_BLOCKS_MAX = 64
const CHARACTERS_PER_TOKEN = 4
const DEFAULT_MAX_TOKENS = 16
const MODEL_PATH = /^\/v1\/(chat\/)?completions$/

/** Properties of a model request that routing uses. */
export interface PromptShape {
  model: string | undefined
  /** Fingerprints of the prompt's prefixes, each one block longer than the one before. */
  blocks: string[]
  /** Fingerprints of the parts that other requests may share: all but the last, which belongs to the request itself. */
  sharedParts: string[]
  estimatedTokens: number
  isEventStream: boolean
}

const PARAGRAPH_BREAK = /\n\s*\n/

/** Returns the parts of a prompt in order: its messages, or the paragraphs of a plain text. */
const partsOf = (body: Record<string, unknown>): string[] => {
  if (typeof body.prompt === 'string') return body.prompt.split(PARAGRAPH_BREAK)
  if (!Array.isArray(body.messages)) return []
  return body.messages.map(message => String((message as { content?: unknown } | null)?.content ?? ''))
}

const textOf = (body: Record<string, unknown>): string => typeof body.prompt === 'string' ? body.prompt : partsOf(body).join('\n')

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
    sharedParts: partsOf(body).slice(0, -1).map(fingerprint),
    estimatedTokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN) + maxTokens,
    isEventStream: body.stream === true
  }
}

/**
 * Reads the properties used for routing from a request; only requests for a model have a prompt.
 *
 * @throws SyntaxError if the body of a request for a model is not a JSON object
 * @example
 * readRequestShape('/v1/completions', body).model
 */
export const readRequestShape = (path: string, body: Uint8Array): PromptShape => {
  if (!MODEL_PATH.test(path)) return { model: undefined, blocks: [], sharedParts: [], estimatedTokens: 0, isEventStream: false }
  const parsed: unknown = JSON.parse(Buffer.from(body).toString('utf8'))
  if (typeof parsed !== 'object' || parsed === null) throw new SyntaxError('request body is not a JSON object')
  return readPromptShape(parsed as Record<string, unknown>)
}
