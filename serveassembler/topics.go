package serveassembler

import (
	"cmp"
	"context"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/framer"
	"primrosehook/lister"
	"primrosehook/publisher"
	"primrosehook/quarantiner"
)

// maxSuspects limits the suspects on one ping to the newest ones. Older ones have
// reached all instances already.
const maxSuspects = 4

// rulesTopic gossips the version of the rule list in effect.
type rulesTopic struct {
	rules *publisher.Publisher
}

// Export implements watcher.Topic.
func (t *rulesTopic) Export() []byte {
	data, err := msgpack.Marshal(int64(t.rules.Version()))
	if err != nil {
		return nil
	}
	return data
}

// Merge implements watcher.Topic.
func (t *rulesTopic) Merge(from lister.Instance, data []byte) {
	var version int64
	if framer.Decode(data, &version) != nil || publisher.Version(version) <= t.rules.Version() {
		return
	}
	fetch := &ruleFetch{rules: t.rules, addr: from.PeerAddr, version: publisher.Version(version)}
	go fetch.run()
}

// ruleFetch is the fetch of a newer rule list from a peer.
type ruleFetch struct {
	rules   *publisher.Publisher
	addr    string
	version publisher.Version
}

func (l *ruleFetch) run() {
	// OnPeerVersion has its own timeout. After a failure the next ping triggers another
	// attempt.
	_ = l.rules.OnPeerVersion(context.Background(), l.addr, l.version)
}

// suspectsTopic gossips the requests that were present at crashes.
type suspectsTopic struct {
	guard *quarantiner.Guard
}

// Export implements watcher.Topic.
func (t *suspectsTopic) Export() []byte {
	all := t.guard.Export()
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b quarantiner.Suspect) int {
		return cmp.Compare(lastChange(b), lastChange(a))
	})
	data, err := msgpack.Marshal(all[:min(len(all), maxSuspects)])
	if err != nil {
		return nil
	}
	return data
}

// lastChange returns when a suspect last changed, in Unix nanoseconds.
func lastChange(s quarantiner.Suspect) int64 {
	at := s.Cleared.UnixNano()
	for _, m := range s.Marks {
		at = max(at, m.At.UnixNano())
	}
	return at
}

// Merge implements watcher.Topic.
func (t *suspectsTopic) Merge(_ lister.Instance, data []byte) {
	var all []quarantiner.Suspect
	if framer.Decode(data, &all) == nil {
		t.guard.Merge(all)
	}
}
