import { readFileSync } from 'node:fs'
import { expect, it } from 'vitest'
import { renderGeneratedFiles } from './generatedFiles.js'

it.each(Object.entries(renderGeneratedFiles()))('%s matches the code it is generated from', (path, content) => {
  expect(readFileSync(path, 'utf8')).toBe(content)
})
