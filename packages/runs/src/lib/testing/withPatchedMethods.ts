/**
 * Patches methods of classes for the duration of a test, to show that a run fails without the
 * mechanism.
 */
import { createRequire } from 'node:module'

/** A method of a patched class. */
export type Method = (this: unknown, ...args: unknown[]) => unknown
/** A class whose prototype methods can be replaced. */
export interface PatchableClass {
	readonly prototype: { [name: string]: unknown }
}
/** A class, the name of its method, and a function that makes the replacement from the original. */
export type MethodPatch = readonly [PatchableClass, string, (original: Method) => Method]

/** @returns a class that its package does not export, by the path of its compiled module. */
export function internalClass(module: string, name: string): PatchableClass {
	return (createRequire(__filename)(module) as { [name: string]: PatchableClass })[name]
}

/** Calls `run` with the patches in place, and restores the original methods afterwards. */
export function withPatchedMethods<T>(patches: readonly MethodPatch[], run: () => T): T {
	const originals = patches.map(([owner, name]) => owner.prototype[name])
	patches.forEach(([owner, name, replace], position) => {
		owner.prototype[name] = replace(originals[position] as Method)
	})
	try {
		return run()
	} finally {
		patches.forEach(([owner, name], position) => {
			owner.prototype[name] = originals[position]
		})
	}
}

/** @returns a class of the jobs package that the package does not export. */
export function jobsClass(folder: string, name: string): PatchableClass {
	return internalClass(`@rillrudder/jobs/dist/lib/${folder}/${name}`, name)
}
