// Package publisher maintains the rule list in force.
//
// A rule list is published by appending an entry to the stream "rules" that
// names the version it replaces. The entry is accepted if that version is in
// force at the entry's position in the stream and the list is valid. Of two
// operators who publish at the same time, exactly one therefore succeeds, and
// all readers agree on which. docs/RULES.md compares this with the
// alternatives.
package publisher

import (
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/replayer"
	"primrosehook/ruler"
)

// Stream is the log stream that holds the rule lists.
const Stream = "rules"

// kindPublish is the only kind of entry in the stream.
const kindPublish = "publish"

// MaxListBytes is the size limit of a rule list, in bytes.
const MaxListBytes = 512 << 10

// Version identifies a rule list by its position in the stream, so a later
// list has a greater version. Zero means that no list is in force.
type Version int64

// versionAt returns the version of the entry at a position. Positions count
// from 0; one is added since version 0 means "none".
func versionAt(p replayer.Position) Version { return Version(p) + 1 }

// Publish is the body of an entry.
type Publish struct {
	// Base is the version that the list replaces.
	Base Version `msgpack:"b"`
	// Author is the name of the operator, shown to other operators.
	Author string `msgpack:"a"`
	// Text is the list as the operator wrote it. Records and messages hold
	// either Text or Packed.
	Text string `msgpack:"t,omitempty"`
	// Packed is the gzip-compressed text, or empty if the list is stored as
	// plain text.
	Packed []byte `msgpack:"z,omitempty"`
}

// AcceptedList is an accepted list.
type AcceptedList struct {
	Version Version `msgpack:"v"`
	Publish
}

// Result is the result of applying an entry.
type Result struct {
	Accepted bool
	// Version is the version in force after the entry.
	Version Version
	// Author is the operator who published that version.
	Author string
	// Fault is the reason for which the entry or its list is invalid. It is
	// empty if the entry was accepted, or rejected because of its base.
	Fault string
}

// Machine is the state machine that the stream of rule lists is applied to.
type Machine struct {
	current AcceptedList
	list    *ruler.List
}

// NewMachine returns a machine without a list.
func NewMachine() *Machine { return &Machine{} }

// InForce returns the list in force and its parsed form, which is nil if
// there is no list.
func (m *Machine) InForce() (AcceptedList, *ruler.List) { return m.current, m.list }

// Apply implements replayer.Machine.
func (m *Machine) Apply(p replayer.Position, e replayer.Entry) Result {
	rejected := Result{Version: m.current.Version, Author: m.current.Author}
	if e.Kind != kindPublish {
		return rejected
	}
	var publish Publish
	if err := msgpack.Unmarshal(e.Body, &publish); err != nil {
		rejected.Fault = "entry is malformed"
		return rejected
	}
	if publish.Base != m.current.Version {
		return rejected
	}
	list, err := publish.decode()
	if err != nil {
		rejected.Fault = err.Error()
		return rejected
	}
	m.current = AcceptedList{Version: versionAt(p), Publish: publish}
	m.list = list
	return Result{Accepted: true, Version: m.current.Version, Author: publish.Author}
}

// Snapshot implements replayer.Machine.
func (m *Machine) Snapshot() ([]byte, error) {
	state := m.current
	state.Publish = state.wireForm()
	return msgpack.Marshal(state)
}

// Restore implements replayer.Machine.
func (m *Machine) Restore(state []byte) error {
	var current AcceptedList
	if err := msgpack.Unmarshal(state, &current); err != nil {
		return err
	}
	var list *ruler.List
	if current.Version > 0 {
		var err error
		if list, err = current.decode(); err != nil {
			return err
		}
	}
	m.current, m.list = current, list
	return nil
}

// decode unpacks a received list and validates it.
func (p *Publish) decode() (*ruler.List, error) {
	if err := p.unpackText(); err != nil {
		return nil, err
	}
	return parse(p.Text)
}

// parse validates a list. The result depends on the text alone, so that all
// readers of the log agree.
func parse(text string) (*ruler.List, error) {
	if len(text) > MaxListBytes {
		return nil, errTooLarge
	}
	return ruler.Parse("published", []byte(text))
}
