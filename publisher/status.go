package publisher

import "time"

// Status describes the rule list on one instance for an operator.
type Status struct {
	// Version and Author are those of the list in force; Source is "log" or
	// the address of the peer that sent it.
	Version Version `json:"version"`
	Author  string  `json:"author"`
	Source  string  `json:"source"`
	// Size is the length of the text; Packed that of its packed form, or 0
	// for a plain list. Both are in bytes.
	Size   int `json:"bytes"`
	Packed int `json:"packed_bytes"`
	// Next is the next offset to read; ReadAt is when the log was last read,
	// and Reachable whether the latest read succeeded.
	Next      int64     `json:"next"`
	ReadAt    time.Time `json:"read_at"`
	Reachable bool      `json:"reachable"`
	// Complete reports that nothing before Next is missing; Current that the end
	// of the stream has been reached.
	Complete bool `json:"whole"`
	Current  bool `json:"current"`
	// Appends counts the records that this instance appended; Malformed those
	// it read that cannot be decoded.
	Appends   int64 `json:"appends"`
	Malformed int   `json:"malformed"`
}

// Status returns which list is in force and how far the log has been read.
func (p *Publisher) Status() Status {
	list, source := p.Published()
	f := p.follower.Status()
	return Status{
		Version: list.Version, Author: list.Author, Source: source,
		Size: len(list.Text), Packed: len(list.Packed),
		Next: f.Next, ReadAt: f.ReadAt, Reachable: f.Reachable,
		Complete: f.Complete, Current: f.Current, Appends: f.Appends, Malformed: f.Malformed,
	}
}
