import neostandard from 'neostandard'

export default [
  { ignores: ['dist', 'node_modules', 'bench-report'] },
  ...neostandard({ ts: true }),
  {
    rules: {
      camelcase: ['error', { properties: 'always', allow: ['^max_tokens$'] }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }]
    }
  }
]
