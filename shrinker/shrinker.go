// Package shrinker makes what a process's threads take of its limits of data and address space
// small.
//
// With cgo, threads have the C library's default stack: 8 MB under the usual limit, which count
// as data and address space from the start, though Go code runs on stacks of its own. Each of up
// to eight threads a core reserves 64 MB of address space for an allocator that Go code does not
// use. Without cgo, and with other C libraries, the package does nothing.
package shrinker
