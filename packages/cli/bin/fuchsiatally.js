#!/usr/bin/env node
// Executable `fuchsiatally`. Kept in the repository, so that `npm install` can link it before the first build.
import '../dist/main.js'
