/** The manifest and the configuration document: reading, checking, comparing and changing them. */
export * from './applyChange.js'
export * from './configFault.js'
export * from './diffManifests.js'
export * from './parseManifest.js'
export * from './schemaField.js'
export * from './similarName.js'
export * from './tomlPath.js'
