import { z } from 'zod'
import type { Figure } from '../harness/index.js'

const figureSchema = z.object({
  suite: z.string().min(1),
  figure: z.string().min(1),
  unit: z.string(),
  // JSON can't represent Infinity or NaN; JSON.stringify writes both as null.
  baseline: z.number().nullable(),
  value: z.number().nullable().transform(value => value ?? Number.NaN),
  seed: z.number(),
  target: z.union([z.strictObject({ max: z.number() }), z.strictObject({ min: z.number() })]).optional(),
  note: z.string().optional()
})

/** Thrown for a line that is not a valid figure; the message has the source and line number. */
export class FigureLineError extends Error {
  constructor (source: string, line: number, detail: string) {
    super(`${source}:${line}: not a figure: ${detail}`)
    this.name = 'FigureLineError'
  }
}

const parseLine = (source: string, text: string, line: number): Figure => {
  try {
    return figureSchema.parse(JSON.parse(text)) as Figure
  } catch (error) {
    if (error instanceof z.ZodError) {
      throw new FigureLineError(source, line, error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; '))
    }
    throw new FigureLineError(source, line, (error as Error).message)
  }
}

/**
 * Parses the JSON lines that `npm run bench -- SUITE --json` prints.
 *
 * @example
 * parseFigures('once.jsonl', readFileSync('once.jsonl', 'utf8'))
 * @throws FigureLineError for the first line that is not a valid figure
 */
export const parseFigures = (source: string, text: string): Figure[] =>
  text.split('\n').flatMap((line, i) => line.trim() === '' ? [] : [parseLine(source, line, i + 1)])

/** Groups figures by suite; suites keep the order of their first figure. */
export const groupBySuite = (figures: readonly Figure[]): Map<string, Figure[]> => {
  const bySuite = new Map<string, Figure[]>()
  for (const figure of figures) bySuite.set(figure.suite, [...bySuite.get(figure.suite) ?? [], figure])
  return bySuite
}
