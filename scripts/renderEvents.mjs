// Generates docs/EVENTS.md from the event registry.
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setUp } from './setup.mjs'

setUp()
const { eventRegistry } = await import('../packages/entry/dist/telemetry/allEvents.js')
const { renderEventsPage } = await import('../packages/entry/dist/telemetry/renderEvents.js')
writeFileSync(join(import.meta.dirname, '..', 'docs', 'EVENTS.md'), renderEventsPage(eventRegistry))
