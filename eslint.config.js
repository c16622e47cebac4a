import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  ...neostandard({ ts: true }),
  {
    rules: {
      // A schema and the type inferred from it share one name on purpose.
      'no-redeclare': 'off',
      '@typescript-eslint/no-redeclare': 'off',
      'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }]
    }
  }
]
