// Loads TypeScript modules by the compiler itself. tsx also wraps every function to keep its name;
// with cores created for each schedule that doubled the time of the suite.
import { readFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import typescript from 'typescript'

const compilerOptions = {
  target: typescript.ScriptTarget.ES2022, module: typescript.ModuleKind.ESNext, inlineSourceMap: true
}

/** Sources import each other by the name of their output. */
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
