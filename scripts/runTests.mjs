// Runs vitest, tolerates exactly the failures listed in KNOWN-RED.txt and prints a summary line.
// A KNOWN-RED.txt entry starts with a line `test: <file> > <full test name>`, or `sometimes: ...` for a test that has failed
// but does not fail in every run.
// Tests in files named *.load.test.ts load a process of their own to its limits; they run after all others, one at a time.
import { readFileSync } from 'node:fs'
import { relative } from 'node:path'
import { configDefaults } from 'vitest/config'
import { startVitest } from 'vitest/node'

const entriesOf = prefix => new Set(
  readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter(line => line.startsWith(prefix))
    .map(line => line.slice(prefix.length).trim())
)
const sometimesRed = entriesOf('sometimes: ')
const knownRed = new Set([...entriesOf('test: '), ...sometimesRed])

const LOAD_TESTS = '**/*.load.test.ts'
const STEPS = [
  { exclude: [...configDefaults.exclude, LOAD_TESTS] },
  { include: [LOAD_TESTS], fileParallelism: false }
]
const counts = { passed: 0, failed: 0, skipped: 0, knownRed: 0 }
const unusedEntries = new Set(knownRed)
let brokenModules = 0
let unhandledErrors = 0

const countTest = (name, state) => {
  unusedEntries.delete(name)
  if (state === 'failed' && knownRed.has(name)) {
    counts.knownRed += 1
    console.log(`known red: ${name}`)
  } else if (state === 'passed' && knownRed.has(name) && !sometimesRed.has(name)) {
    // A listed test that passes must be removed from the list, as a later regression would go unnoticed.
    counts.failed += 1
    console.log(`listed in KNOWN-RED.txt but passes: ${name}`)
  } else if (state === 'passed') counts.passed += 1
  else if (state === 'failed') counts.failed += 1
  else counts.skipped += 1
}

for (const step of STEPS) {
  // Names of files on the command line may all belong to the other step.
  const passWithNoTests = process.argv.length > 2
  const vitest = await startVitest('test', process.argv.slice(2), { watch: false, reporters: ['default'], passWithNoTests, ...step })
  for (const module of vitest.state.getTestModules()) {
    if (module.errors().length > 0) brokenModules += 1
    const file = relative(process.cwd(), module.moduleId)
    for (const test of module.children.allTests()) countTest(`${file} > ${test.fullName}`, test.result().state)
  }
  unhandledErrors += vitest.state.getUnhandledErrors().length
  await vitest.close()
}
for (const name of unusedEntries) console.log(`KNOWN-RED.txt names a test that does not exist: ${name}`)

const failures = counts.failed + brokenModules + unhandledErrors + unusedEntries.size
console.log(`${counts.passed} passed, ${failures} failed, ${counts.skipped + counts.knownRed} skipped`)
process.exit(failures === 0 && counts.passed > 0 ? 0 : 1)
