// Bundles the entry with its platform adapter into one file, so that a restarting process loads and compiles a single module.
// With an argument, writes it to that file.
import { join } from 'node:path'
import { build } from 'esbuild'
import { setUp } from './setup.mjs'

const root = join(import.meta.dirname, '..')
setUp()
await build({
  entryPoints: [join(root, 'platform', 'dist', 'main.js')],
  outfile: process.argv[2] ?? join(root, 'target', 'fuchsiatally.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: false,
  // Bundled CommonJS dependencies call `require` for Node.js built-in modules.
  banner: { js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);" },
  logLevel: 'warning'
})
