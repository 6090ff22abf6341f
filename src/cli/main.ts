#!/usr/bin/env node
import { flush, run, settings } from '@oclif/core'
import { reportError } from './reportError.js'

// The package ships compiled commands, so oclif must not look for TypeScript sources.
settings.enableAutoTranspile = false

try {
  await run(process.argv.slice(2), import.meta.url)
  await flush()
} catch (error) {
  const { lines, exitCode } = reportError(error)
  for (const line of lines) console.error(line)
  process.exitCode = exitCode
}
