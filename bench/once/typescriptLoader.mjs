// Transpiles TypeScript modules with the compiler itself. tsx also wraps every function to keep its name, which
// doubles the time of the suite, because each schedule creates its own cores.
import { readFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import typescript from 'typescript'

const compilerOptions = {
  target: typescript.ScriptTarget.ES2022, module: typescript.ModuleKind.ESNext, inlineSourceMap: true
}

/** Maps .js to .ts, because source files import each other under the name of the compiled file. */
export const resolve = (specifier, context, nextResolve) => {
  const isSource = specifier.startsWith('.') && context.parentURL?.endsWith('.ts')
  return nextResolve(isSource ? specifier.replace(/\.js$/, '.ts') : specifier, context)
}

export const load = async (url, context, nextLoad) => {
  if (!url.endsWith('.ts')) return nextLoad(url, context)
  const source = await readFile(fileURLToPath(url), 'utf8')
  const { outputText } = typescript.transpileModule(source, { compilerOptions, fileName: url })
  return { format: 'module', source: outputText, shortCircuit: true }
}
