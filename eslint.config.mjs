import tseslint from 'typescript-eslint'

export default tseslint.config(
	{
		ignores: [
			'**/dist/**',
			'target/**',
			'**/node_modules/**',
			'packages/protocol/src/lib/generated/**',
		],
	},
	...tseslint.configs.recommended,
	{
		rules: {
			'@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
			'no-restricted-syntax': [
				'error',
				{ selector: 'TSEnumDeclaration', message: 'Use a constant object.' },
				{
					selector: "CallExpression[callee.object.name='Math'][callee.property.name='random']",
					message: 'Take a Random.',
				},
			],
			eqeqeq: 'error',
		},
	},
	{
		// Launchers are plain scripts, so that they exist before anything is built.
		files: ['apps/*/bin/*.js', 'deploy/*.cjs'],
		rules: { '@typescript-eslint/no-require-imports': 'off' },
	},
	{
		files: ['packages/*/src/lib/**/*.ts', 'apps/*/src/lib/**/*.ts', 'platform/src/lib/**/*.ts'],
		// A bench measures, so it reads the machine's own clock.
		ignores: ['**/SystemClock.ts', 'apps/bench/**'],
		rules: {
			'no-restricted-properties': [
				'error',
				{ object: 'Date', property: 'now', message: 'Take a Clock.' },
				{ object: 'performance', property: 'now', message: 'Take a Clock.' },
			],
		},
	}
)
