import neostandard from 'neostandard'

export default [
  { ignores: ['dist', 'node_modules', 'bench-report', 'target'] },
  ...neostandard({ ts: true }),
  {
    rules: {
      camelcase: ['error', { properties: 'always', allow: ['^max_tokens$'] }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }]
    }
  },
  {
    // The stand-ins speak the platform's protocol, whose field names are in snake case.
    files: ['platform/**/*.test.ts', 'platform/standIns/*.ts', 'bench/overhead/platformStart.ts'],
    rules: { camelcase: 'off' }
  }
]
