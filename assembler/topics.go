package assembler

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

// maxSuspects bounds the suspects on one ping. The newest go first; older ones
// have reached everybody by then.
const maxSuspects = 4

// rulesTopic spreads the version of the rule list in force.
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
	fetch := &learning{rules: t.rules, addr: from.PeerAddr, version: publisher.Version(version)}
	go fetch.run()
}

// learning fetches a newer rule list from a peer.
type learning struct {
	rules   *publisher.Publisher
	addr    string
	version publisher.Version
}

func (l *learning) run() {
	// Learn bounds itself. A failure is made good by the next ping.
	_ = l.rules.Learn(context.Background(), l.addr, l.version)
}

// suspectsTopic spreads the requests that were present at crashes.
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
		return cmp.Compare(newest(b), newest(a))
	})
	data, err := msgpack.Marshal(all[:min(len(all), maxSuspects)])
	if err != nil {
		return nil
	}
	return data
}

// newest returns when a suspect last changed, in Unix nanoseconds.
func newest(s quarantiner.Suspect) int64 {
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
