#!/usr/bin/env node
/** Placeholder of the binary. */
export {}
