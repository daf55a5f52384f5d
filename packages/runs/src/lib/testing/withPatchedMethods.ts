/** Takes mechanisms out of classes for the length of a test, to show that what rests on them then fails. */
import { createRequire } from 'node:module'

/** A method of a class that is broken on purpose. */
export type Method = (this: unknown, ...given: unknown[]) => unknown
/** A class as far as its methods are replaced. */
export interface PatchableClass {
	readonly prototype: { [name: string]: unknown }
}
/** One change: the class, the method's name, and what takes its place. */
export type MethodPatch = readonly [PatchableClass, string, (original: Method) => Method]

/** @returns a class that only its own package knows, by the path of its compiled module. */
export function internalClass(module: string, name: string): PatchableClass {
	return (createRequire(__filename)(module) as { [name: string]: PatchableClass })[name]
}

/** Runs with some methods replaced, and puts them back. */
export function withPatchedMethods<T>(changes: readonly MethodPatch[], run: () => T): T {
	const kept = changes.map(([owner, name]) => owner.prototype[name])
	changes.forEach(([owner, name, make], position) => {
		owner.prototype[name] = make(kept[position] as Method)
	})
	try {
		return run()
	} finally {
		changes.forEach(([owner, name], position) => {
			owner.prototype[name] = kept[position]
		})
	}
}

/** @returns a class of the jobs package that only that package knows. */
export function jobsClass(folder: string, name: string): PatchableClass {
	return internalClass(`@rillrudder/jobs/dist/lib/${folder}/${name}`, name)
}
