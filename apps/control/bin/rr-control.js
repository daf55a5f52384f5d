#!/usr/bin/env node
// Starts rr-control; committed, so that a fresh install links it before anything is built.
require('../dist/main.js')
