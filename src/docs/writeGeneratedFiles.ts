import { mkdirSync, writeFileSync } from 'node:fs'
import { dirname } from 'node:path'
import { renderGeneratedFiles } from './generatedFiles.js'

for (const [path, content] of Object.entries(renderGeneratedFiles())) {
  mkdirSync(dirname(path), { recursive: true })
  writeFileSync(path, content)
}
