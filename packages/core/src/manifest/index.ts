/** Parsing, validation, comparison and modification of manifests and the configuration document. */
export * from './applyChange.js'
export * from './configFault.js'
export * from './diffManifests.js'
export * from './parseManifest.js'
export * from './schemaField.js'
export * from './similarName.js'
export * from './tomlPath.js'
