import { HTTPParser } from 'http-parser-js'
import { RESPONSE_FRAMING_BYTES_MAX } from './constants.js'
import { isFieldLine } from './headerFields.js'

/** Keeps all eight bits of each byte, so that header values are passed on as they came. */
HTTPParser.encoding = 'latin1'

/** States of the library's parser in which it reads a line. */
enum LineState {
  Status = 'RESPONSE_LINE',
  Header = 'HEADER',
  ChunkSize = 'BODY_CHUNKHEAD',
  ChunkEnd = 'BODY_CHUNKEMPTYLINE',
  Trailer = 'BODY_CHUNKTRAILERS'
}

/** Members of the parser that the type declarations of the library omit. */
interface ParserInternals {
  state: string
  /** The bytes that are parsed now, and the position in them. */
  chunk: Buffer
  offset: number
  end: number
  /** Beginning of a line that the bytes before have left incomplete. */
  line: string
  /** Bytes that the length, or the size of the current chunk, still announces. */
  body_bytes: number | null
  /** Returns the next complete line, or undefined if there is none. */
  consumeLine (): string | undefined
}

type LibraryParser = InstanceType<typeof HTTPParser>
/** The public members of the library's parser, and the internal ones that are needed here. */
export type StrictParser = Pick<LibraryParser, keyof LibraryParser> & ParserInternals

/** What the library lets pass, and HTTP/1.1 does not allow. */
interface LineRule {
  isValid (line: string): boolean
  /** Whether only CR LF ends the line. In the head and in trailers a line feed alone does, too. */
  needsReturn: boolean
}

const STATUS_LINE = /^HTTP\/1\.\d [1-5]\d\d(?: .*)?$/
const CHUNK_SIZE_LINE = /^[0-9a-f]+(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?$/i

/**
 * The library skips a line that is no header, and appends one that begins with a blank to the header before: a header with a
 * stray blank before its name would be lost in both cases. An empty line ends the section.
 */
const HEADER_RULE: LineRule = { isValid: line => line === '' || isFieldLine(line), needsReturn: false }

const LINE_RULES: Record<LineState, LineRule> = {
  // Empty lines before a status line are skipped. The library takes the first three digits of a longer status.
  [LineState.Status]: { isValid: line => line === '' || STATUS_LINE.test(line), needsReturn: false },
  [LineState.Header]: HEADER_RULE,
  // The library takes a line without a size for the last chunk, so that a broken response would look complete.
  [LineState.ChunkSize]: { isValid: line => CHUNK_SIZE_LINE.test(line), needsReturn: true },
  [LineState.ChunkEnd]: { isValid: line => line === '', needsReturn: true },
  [LineState.Trailer]: HEADER_RULE
}

const RETURN = 0x0d
const LINE_END_BYTES = 2

/** Whether the line that ends at the parser's position, and began at `startsAt` of the current bytes, ends with CR LF. */
const endsWithReturn = ({ chunk, offset }: ParserInternals, startsAt: number, carriedOver: string): boolean =>
  offset - startsAt >= LINE_END_BYTES ? chunk[offset - LINE_END_BYTES] === RETURN : carriedOver.endsWith('\r')

/**
 * Creates a parser of the HTTP library for responses that rejects lines which HTTP/1.1 does not allow in the head, between
 * chunks and in trailers.
 *
 * @example
 * createStrictParser().execute(Buffer.from('HTTP/1.1 000 X\r\n')) // a SyntaxError
 */
export const createStrictParser = (): StrictParser => {
  const parser = new HTTPParser(HTTPParser.RESPONSE) as unknown as StrictParser
  const { consumeLine } = parser
  parser.maxHeaderSize = RESPONSE_FRAMING_BYTES_MAX
  parser.consumeLine = () => {
    const { offset: startsAt, line: carriedOver, state } = parser
    const { isValid, needsReturn } = LINE_RULES[state as LineState]
    const line = consumeLine.call(parser)
    if (line === undefined) return undefined
    if (!isValid(line) || (needsReturn && !endsWithReturn(parser, startsAt, carriedOver))) throw new SyntaxError(`invalid line in state ${state}`)
    return line
  }
  return parser
}
