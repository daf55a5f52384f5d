// Bundles each program of the platform into one file under target/, straight from the sources.
import { build } from 'esbuild'
import { spawnSync } from 'node:child_process'
import { copyFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

const TARGET = join(process.cwd(), 'target')
/** The programs with their flags, the same as in system.toml: V8 takes a cache only under those that it was made with. */
const PROGRAMS = {
	core: ['--max-old-space-size=200', '--max-semi-space-size=32'],
	front: ['--max-old-space-size=200'],
}

const workspaces = {
	name: 'workspaces',
	setup(bundler) {
		bundler.onResolve({ filter: /^@rillrudder\// }, ({ path }) => ({
			path: join(process.cwd(), 'packages', path.split('/')[1], 'src/index.ts'),
		}))
	},
}

await build({
	entryPoints: Object.keys(PROGRAMS).map((name) => ({
		in: `platform/src/${name}.ts`,
		out: `${name}.bundle`,
	})),
	outdir: TARGET,
	bundle: true,
	platform: 'node',
	target: 'node20',
	minifySyntax: true,
	plugins: [workspaces],
	logLevel: 'warning',
})

const launcher = join(TARGET, 'launch.cjs')
copyFileSync('deploy/launch.cjs', launcher)
for (const [name, flags] of Object.entries(PROGRAMS)) {
	const bundle = join(TARGET, `${name}.bundle.js`)
	const env = { ...process.env, RILLRUDDER_CONFIG: '' }
	const made = spawnSync(process.execPath, [...flags, launcher, bundle], { env, stdio: 'ignore' })
	// The program runs without it, only its start takes longer.
	if (made.status !== 0) process.stderr.write(`no code cache could be made for ${bundle}\n`)
	const program = `require('./launch.cjs').launch(require('node:path').join(__dirname, '${name}.bundle.js'))\n`
	writeFileSync(join(TARGET, `${name}.js`), program)
}
