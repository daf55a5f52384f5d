// Bundles each program of the platform into one file under target/, straight from the sources.
import { build } from 'esbuild'
import { join } from 'node:path'

const workspaces = {
	name: 'workspaces',
	setup(bundler) {
		bundler.onResolve({ filter: /^@rillrudder\// }, ({ path }) => ({
			path: join(process.cwd(), 'packages', path.split('/')[1], 'src/index.ts'),
		}))
	},
}

await build({
	entryPoints: ['platform/src/core.ts', 'platform/src/front.ts'],
	outdir: 'target',
	bundle: true,
	platform: 'node',
	target: 'node20',
	minifySyntax: true,
	plugins: [workspaces],
	logLevel: 'warning',
})
