#!/usr/bin/env node
// Binary `fuchsiatallyd`; committed, so that installing links it before the first build.
import '../dist/main.js'
