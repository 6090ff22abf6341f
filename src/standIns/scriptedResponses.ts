/** A response as bytes, one character each, that a stand-in writes around a body. */
export interface ScriptedResponse {
  what: string
  /** Written before the status line. */
  interim?: string
  statusLine?: string
  /** Lines of the head beside those that every response of the stand-in has. */
  lines: (body: string) => string
  /** What follows the head. */
  content: (body: string) => string
}

const OK = 'HTTP/1.1 200 OK'
const NO_BREAK_SPACE = '\xa0'
/** Beyond any response that is accepted. */
const HUGE_CHUNK_SIZE = 'fffffffffffffffff'
const HUGE_LENGTH = '99999999999999999999'

const plain = (body: string) => body
const lengthOfBytes = (bytes: number) => `Content-Length: ${bytes}\r\n`
const lengthOf = (body: string) => lengthOfBytes(body.length)
const chunk = (body: string, sizeLine = body.length.toString(16)) => `${sizeLine}\r\n${body}\r\n`
const LAST_CHUNK = '0\r\n\r\n'
const chunked = (body: string) => chunk(body) + LAST_CHUNK
const CHUNKED = 'Transfer-Encoding: chunked\r\n'

/** A head whose length is written another way, before a body that is whole. */
const withLength = (what: string, lines: (bytes: number) => string): ScriptedResponse =>
  ({ what, lines: body => lines(body.length), content: plain })

/** A head with another transfer coding, before a body in chunks. */
const withCoding = (lines: string, statusLine = OK): ScriptedResponse =>
  ({ what: `${statusLine}, ${JSON.stringify(lines)}`, statusLine, lines: () => lines, content: chunked })

const withChunks = (what: string, content: (body: string) => string): ScriptedResponse =>
  ({ what, lines: () => CHUNKED, content })

const withStatusLine = (statusLine: string): ScriptedResponse =>
  ({ what: JSON.stringify(statusLine), statusLine, lines: lengthOf, content: plain })

const withLine = (what: string, line: string): ScriptedResponse =>
  ({ what, lines: body => line + lengthOf(body), content: plain })

/** Responses that break the rules of HTTP/1.1, by the part that is broken. No receiver can tell what their worker meant. */
export const BROKEN_RESPONSES = {
  length: [
    withLength('that is empty', () => 'Content-Length:\r\n'),
    withLength('with a letter', bytes => `Content-Length: ${bytes}x\r\n`),
    withLength('with a sign', bytes => `Content-Length: +${bytes}\r\n`),
    withLength('below zero', bytes => `Content-Length: -${bytes}\r\n`),
    withLength('in hexadecimal', bytes => `Content-Length: 0x${bytes.toString(16)}\r\n`),
    withLength('with a fraction', bytes => `Content-Length: ${bytes}.0\r\n`),
    withLength('with an exponent', bytes => `Content-Length: ${bytes}e0\r\n`),
    withLength('in quotes', bytes => `Content-Length: "${bytes}"\r\n`),
    withLength('after a no-break space', bytes => `Content-Length: ${NO_BREAK_SPACE}${bytes}\r\n`),
    withLength('before a no-break space', bytes => `Content-Length: ${bytes}${NO_BREAK_SPACE}\r\n`),
    withLength('twice, and different', bytes => `Content-Length: ${bytes}\r\nContent-Length: ${bytes + 1}\r\n`),
    withLength('as a list of two', bytes => `Content-Length: ${bytes}, ${bytes + 1}\r\n`),
    withLength('on a line of its own', bytes => `Content-Length:\r\n ${bytes}\r\n`),
    withLength('that goes on on the next line', bytes => `Content-Length: ${bytes}\r\n 0\r\n`),
    withLength('beyond any body', () => `Content-Length: ${HUGE_LENGTH}\r\n`),
    withLength('shorter than the body', bytes => `Content-Length: ${bytes - 3}\r\n`),
    withLength('of zero before a body', () => 'Content-Length: 0\r\n'),
    withLength('beside chunks', bytes => `Content-Length: ${bytes}\r\n${CHUNKED}`)
  ],
  line: [
    withLength('a blank before the name of the length', bytes => ` Content-Length: ${bytes}\r\n`),
    withLength('a tab before the name of the length', bytes => `\tContent-Length: ${bytes}\r\n`),
    withLength('a blank behind the name of the length', bytes => `Content-Length : ${bytes}\r\n`),
    withLength('a blank in the name of the length', bytes => `Content Length: ${bytes}\r\n`),
    withLength('a control byte in the name of the length', bytes => `Content\x01Length: ${bytes}\r\n`),
    withLength('a byte above ASCII in the name of the length', bytes => `Content-L\xe9ngth: ${bytes}\r\n`),
    withLength('a length without a colon', bytes => `Content-Length ${bytes}\r\n`),
    withLength('a return within the length', bytes => `Content-Length: ${bytes}\r0\r\n`),
    withLine('a line without a colon', 'X-Area\r\n'),
    withLine('a line without a name', ': 1\r\n'),
    withLine('a blank in a name', 'X Area: 1\r\n'),
    withLine('a control byte in a name', 'X\x01Area: 1\r\n'),
    withLine('a zero byte in a value', 'X-Area: \x00\r\n'),
    withLine('a line that begins with a blank', 'X-Area: 1\r\n 2\r\n'),
    withLine('a line that begins with a tab', 'X-Area: 1\r\n\t2\r\n'),
    withLine('a line of blanks', ' \r\n')
  ],
  coding: [
    withCoding('Transfer-Encoding:\r\n'),
    withCoding('Transfer-Encoding: identity\r\n'),
    withCoding('Transfer-Encoding: gzip\r\n'),
    withCoding('Transfer-Encoding: chunkedx\r\n'),
    withCoding('Transfer-Encoding: chun ked\r\n'),
    withCoding('Transfer-Encoding: "chunked"\r\n'),
    withCoding('Transfer-Encoding: chunked;q=1\r\n'),
    withCoding('Transfer-Encoding: chunked, gzip\r\n'),
    withCoding('Transfer-Encoding: gzip, chunked\r\n'),
    withCoding('Transfer-Encoding: identity, chunked\r\n'),
    withCoding('Transfer-Encoding: chunked, chunked\r\n'),
    withCoding('Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n'),
    withCoding('Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n'),
    withCoding('Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n'),
    withCoding(`Transfer-Encoding: ${NO_BREAK_SPACE}chunked\r\n`),
    withCoding(`Transfer-Encoding: chunked${NO_BREAK_SPACE}\r\n`),
    withCoding('Transfer-Encoding:\r\n chunked\r\n'),
    withCoding('Transfer-Encoding: chunked\r\n', 'HTTP/1.0 200 OK')
  ],
  chunks: [
    withChunks('a size that is no number', body => chunk(body, 'x') + LAST_CHUNK),
    withChunks('no size', body => chunk(body, '') + LAST_CHUNK),
    withChunks('a size after a blank', body => chunk(body, ` ${body.length.toString(16)}`) + LAST_CHUNK),
    withChunks('a size before a blank', body => chunk(body, `${body.length.toString(16)} `) + LAST_CHUNK),
    withChunks('a size with a sign', body => chunk(body, `+${body.length.toString(16)}`) + LAST_CHUNK),
    withChunks('a size with a prefix', body => chunk(body, `0x${body.length.toString(16)}`) + LAST_CHUNK),
    withChunks('a size beyond any body', body => chunk(body, HUGE_CHUNK_SIZE) + LAST_CHUNK),
    withChunks('a size shorter than its chunk', body => chunk(body, (body.length - 1).toString(16)) + LAST_CHUNK),
    withChunks('a control byte in an extension', body => chunk(body, `${body.length.toString(16)};a=\x01`) + LAST_CHUNK),
    withChunks('a line feed alone behind a size', body => `${body.length.toString(16)}\n${body}\r\n${LAST_CHUNK}`),
    withChunks('a line feed alone behind a chunk', body => `${body.length.toString(16)}\r\n${body}\n${LAST_CHUNK}`),
    withChunks('a trailer without a colon', body => `${chunk(body)}0\r\nX-Trailer\r\n\r\n`),
    withChunks('a trailer that begins with a blank', body => `${chunk(body)}0\r\nX-Trailer: 1\r\n 2\r\n\r\n`),
    withChunks('bytes behind the last chunk', body => `${chunked(body)}more`)
  ],
  statusLine: [
    ...[
      '000 X', '099 X', '600 X', '999 X', '2000 X', '20 X', '200X', '101 X', '200 O\x0bK', '200 O\x00K', ' 200 OK', '\t200 OK'
    ].map(status => withStatusLine(`HTTP/1.1 ${status}`)),
    ...['HTTP/2.0 200 OK', 'HTTP/9.9 200 OK', 'HTTP/1 200 OK', 'HTTP/1.11 200 OK', 'http/1.1 200 OK', 'HTTQ/1.1 200 OK', '200 OK'].map(withStatusLine)
  ],
  interim: [
    { ...withLength('a length that is no number', lengthOfBytes), interim: 'HTTP/1.1 102 Processing\r\nContent-Length: 1x\r\n\r\n' },
    { ...withLength('a line without a colon', lengthOfBytes), interim: 'HTTP/1.1 102 Processing\r\nX-Area\r\n\r\n' },
    { ...withLength('a body', lengthOfBytes), interim: 'HTTP/1.1 102 Processing\r\nContent-Length: 4\r\n\r\nbody' }
  ]
} as const satisfies Record<string, readonly ScriptedResponse[]>

/** Responses that are unusual and obey the rules of HTTP/1.1. */
export const SOUND_RESPONSES: readonly ScriptedResponse[] = [
  withLength('a length with leading zeros', bytes => `Content-Length: 000${bytes}\r\n`),
  withLength('the same length twice', bytes => lengthOfBytes(bytes).repeat(2)),
  withLength('blanks and tabs around a length', bytes => `Content-Length: \t ${bytes} \t\r\n`),
  withLength('no blank before a length', bytes => `Content-Length:${bytes}\r\n`),
  withLine('an empty value', 'X-Area:\r\n'),
  withLine('a value of blanks', 'X-Area:   \r\n'),
  withLine('bytes above ASCII in a value', 'X-Area: \xd8stmarka\xa0\r\n'),
  withLine('a tab within a value', 'X-Area: 1\t2\r\n'),
  withCoding('Transfer-Encoding: chunked\r\n'),
  withCoding('transfer-encoding:Chunked\r\n'),
  withCoding('Transfer-Encoding: \tchunked \r\n'),
  withChunks('chunks of one byte', body => [...body].map(byte => chunk(byte)).join('') + LAST_CHUNK),
  withChunks('a size with leading zeros, in capitals', body => chunk(body, `00${body.length.toString(16).toUpperCase()}`) + LAST_CHUNK),
  withChunks('extensions', body => `${chunk(body, `${body.length.toString(16)};a=b;c="d e"`)}0 ; last\r\n\r\n`),
  withChunks('trailers', body => `${chunk(body)}000\r\nX-Trailer: 1\r\nX-Empty:\r\n\r\n`),
  withStatusLine('HTTP/1.1 200 '),
  withStatusLine('HTTP/1.1 200'),
  withStatusLine('HTTP/1.0 200 OK'),
  withStatusLine('HTTP/1.1 200 \xd8K'),
  { ...withLength('interim responses', lengthOfBytes), interim: 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' }
]

/**
 * Returns the bytes of a response.
 *
 * @example
 * socket.write(renderResponse(SOUND_RESPONSES[0]!, 'answer', 'Content-Type: text/plain\r\n'), 'latin1')
 */
export const renderResponse = ({ interim = '', statusLine = OK, lines, content }: ScriptedResponse, body: string, fields = ''): string =>
  `${interim}${statusLine}\r\n${fields}${lines(body)}\r\n${content(body)}`
