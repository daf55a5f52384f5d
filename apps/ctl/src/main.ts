#!/usr/bin/env node
/** `rrctl`, the program. */
import { runCommand } from '@rillrudder/program'
import { rrctl } from './lib/commands'

void runCommand(rrctl, process.argv.slice(2))
