// Package watcher knows which instances there are.
package watcher

import "primrosehook/lister"

// View is what the other parts need of the membership.
type View interface {
	// Self returns this instance.
	Self() lister.Instance
	// Instances returns the known instances of a kind that are not gone,
	// leaving ones included, ordered by name.
	Instances(kind string) []lister.Instance
	// Owners returns up to count entry instances of this region, in the order
	// in which they should hold a shard. Rendezvous hashing makes the order
	// the same on all instances that know the same members. Leaving
	// instances come last. It decides who works, never who is right: that is
	// decided by the log.
	Owners(shard string, count int) []lister.Instance
}
