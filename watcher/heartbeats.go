package watcher

import (
	"encoding/binary"
	"time"

	"primrosehook/lister"
)

// idSize is the length of a member's ID in packed heartbeats, in bytes.
const idSize = 4

// packHeartbeats returns heartbeats in their compact encoding: the ID, then the
// sequence number as a varint. The number increases by one per second, so it takes
// 2 bytes for the first hours and 3 for the first weeks: 6 or 7 bytes per
// heartbeat, where msgpack takes 11.
func packHeartbeats(beats []Heartbeat) []byte {
	var packed []byte
	for _, b := range beats {
		packed = binary.BigEndian.AppendUint32(packed, b.ID)
		packed = binary.AppendUvarint(packed, uint64(b.Seq))
	}
	return packed
}

// unpackHeartbeats decodes heartbeats up to the first malformed one. The rest is
// dropped: heartbeats are sent repeatedly anyway.
func unpackHeartbeats(packed []byte) []Heartbeat {
	var beats []Heartbeat
	for len(packed) > idSize {
		seq, n := binary.Uvarint(packed[idSize:])
		if n <= 0 || uint64(uint32(seq)) != seq {
			return beats
		}
		beats = append(beats, Heartbeat{ID: binary.BigEndian.Uint32(packed), Seq: uint32(seq)})
		packed = packed[idSize+n:]
	}
	return beats
}

// allHeartbeats returns the heartbeats of a ping in either encoding.
func (p *Ping) allHeartbeats() []Heartbeat {
	if len(p.PackedHeartbeats) == 0 {
		return p.Heartbeats
	}
	return append(unpackHeartbeats(p.PackedHeartbeats), p.Heartbeats...)
}

// pack replaces the heartbeats by their compact encoding.
func (p *Ping) pack() {
	p.PackedHeartbeats = packHeartbeats(p.Heartbeats)
	p.Heartbeats = nil
}

// ForPeer returns a ping as it is sent to one peer: with packed heartbeats if the
// peer can decode them. A peer announces that in its own pings, so that builds with
// and without packing can run in one region.
func (c *Core) ForPeer(p Ping, to lister.Instance) Ping {
	p.ReceiverID = memberID(to.Name)
	if m, ok := c.members[to.Name]; ok && m.acceptsPacked {
		p.pack()
	}
	return p
}

// Answer returns the answer to a ping. It omits what the sender of the ping is
// known to have: heartbeats that are no newer here, the sender's own, and,
// unless this instance is leaving, its description if ReceiverID matches. That
// loses nothing, and leaves room for heartbeats that the sender lacks.
func (c *Core) Answer(now time.Time, to Ping) Ping {
	known := map[uint32]uint32{}
	for _, b := range to.allHeartbeats() {
		known[b.ID] = b.Seq
	}
	if to.From != nil {
		known[memberID(to.From.Name)] = to.Seq
	}
	p := c.buildPing(now, known)
	if to.ReceiverID == memberID(c.self.Name) && c.self.State == lister.StateLive {
		p.From = nil
	}
	if to.AcceptsPacked {
		p.pack()
	}
	return p
}

// HandleAnswer applies the answer to a ping that was sent to the peer from.
func (c *Core) HandleAnswer(now time.Time, from lister.Instance, p Ping) {
	if p.From == nil {
		p.From = &from
	}
	c.HandlePing(now, p)
}
