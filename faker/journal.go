package faker

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// maxLine is the length limit of a journal's line, in bytes.
const maxLine = 1 << 20

// Line is one line of a journal: a run or a memory violation.
type Line struct {
	// Name is the name of the engine or service.
	Name string `json:"name"`
	// Request is the ID of a request that an engine ran.
	Request string `json:"request,omitempty"`
	// Run is a write that a service ran. Its Count covers only the process that
	// wrote the line.
	Run *Run `json:"run,omitempty"`
	// Violation is an overcommitment of an engine's memory.
	Violation *Violation `json:"violation,omitempty"`
}

// journal records what ran. It outlives the process that writes it, so that a
// test can check what ran in a process that was killed.
type journal struct {
	mu  sync.Mutex
	out io.Writer
}

// add writes a line in one call. Callers add it before the effect is visible to
// others.
func (j *journal) add(line Line) {
	if j.out == nil {
		return
	}
	data, err := json.Marshal(line)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = j.out.Write(append(data, '\n'))
}

// ReadJournal returns the lines of a journal. It skips lines that cannot be
// parsed, such as a last one that was truncated when the process was killed.
func ReadJournal(path string) ([]Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "journal cannot be read")
	}
	defer func() { _ = f.Close() }()
	var all []Line
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var line Line
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		all = append(all, line)
	}
	return all, eris.Wrap(lines.Err(), "journal cannot be read")
}
