#!/usr/bin/env node
// Executable `fuchsiatally`. Checked in so that `npm install` can link it before the first build.
import '../dist/main.js'
