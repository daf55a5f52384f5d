/** Where the transcripts of whole sessions are kept. */
import { join } from 'node:path'

/** The folder, in the sources. @public */
export const GOLDEN_FOLDER = join(__dirname, '..', '..', '..', 'golden')
