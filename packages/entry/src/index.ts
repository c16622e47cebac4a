/** The entry process: everything between callers and back ends. */
export * from './ports.js'
export * from './http/route.js'
