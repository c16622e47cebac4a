// Bundles the entry for the platform into one file: a restarted process reads and compiles a single module.
import { join } from 'node:path'
import { build } from 'esbuild'
import { setUp } from './setup.mjs'

const root = join(import.meta.dirname, '..')
setUp()
await build({
  entryPoints: [join(root, 'platform', 'dist', 'main.js')],
  outfile: join(root, 'target', 'fuchsiatally.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: false,
  // Libraries in CommonJS call `require` for modules of Node itself.
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);" },
  logLevel: 'warning'
})
