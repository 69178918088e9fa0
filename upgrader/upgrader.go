// Package upgrader names the build that an instance runs. While a fleet is replaced instance by
// instance, two builds work together; docs/UPGRADES.md lists what they share.
package upgrader

import (
	"fmt"
	"runtime/debug"
)

// Formats is the number of the formats of messages and records that this build writes. A landing
// that changes one of them raises it. Builds before it was introduced write zero.
const Formats = 7

// Build identifies the build of an instance.
type Build struct {
	// Revision is the version control's name of its source, empty if that is not known.
	Revision string `msgpack:"r"`
	Formats  int    `msgpack:"f"`
}

// revision is set by the linker where the build does not ask the version control itself.
var revision string

// revisionLength is how much of a revision is kept, in characters.
const revisionLength = 12

// Current returns the build of this process.
func Current() Build {
	b := Build{Revision: shorten(revision), Formats: Formats}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			b.Revision = shorten(s.Value)
		}
	}
	return b
}

func shorten(revision string) string { return revision[:min(len(revision), revisionLength)] }

// String returns the build as it is shown, for example "1a2b3c4d5e6f (formats 1)".
func (b Build) String() string {
	if b.Revision == "" {
		return fmt.Sprintf("unknown (formats %d)", b.Formats)
	}
	return fmt.Sprintf("%s (formats %d)", b.Revision, b.Formats)
}
