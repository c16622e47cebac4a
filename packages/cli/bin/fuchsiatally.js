#!/usr/bin/env node
// Binary `fuchsiatally`; committed, so that installing links it before the first build.
import '../dist/main.js'
