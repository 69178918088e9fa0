// Package ignorer makes a process ignore SIGHUP before any of its Go code runs. By default
// the signal ends a process, also while Go's runtime and the packages are initialized.
//
// Without cgo the package does nothing. Go's runtime leaves an ignored SIGHUP alone until
// signal.Notify asks for it.
package ignorer
