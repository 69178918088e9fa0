// Package watcher tracks the membership of a region: which instances exist and
// which of them are live. Entry instances gossip heartbeats; the platform's
// instance list supplies everything else.
package watcher

import "primrosehook/lister"

// View is the membership as other packages use it.
type View interface {
	// Self returns this instance.
	Self() lister.Instance
	// Instances returns the known instances of a kind, leaving ones included,
	// ordered by name. Entry instances that are suspected dead are left out.
	Instances(kind string) []lister.Instance
	// Owners returns up to count entry instances of this region, in the order
	// in which they should own a shard. Rendezvous hashing makes the order
	// the same on all instances that know the same members. Leaving
	// instances come last. The order only distributes work: views may
	// differ between instances, and conflicts are resolved by the log.
	Owners(shard string, count int) []lister.Instance
}
