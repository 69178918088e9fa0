package launcher

import (
	"context"
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// WithPrograms builds the programs into a temporary directory and calls f with them and
// a writer for the processes' output. The output goes to the file logs, or is
// discarded if that is empty.
func WithPrograms(ctx context.Context, logs string, f func(p Programs, output io.Writer) error) error {
	output := io.Discard
	if logs != "" {
		file, err := os.Create(logs)
		if err != nil {
			return eris.Wrap(err, "log file cannot be created")
		}
		defer func() { _ = file.Close() }()
		output = file
	}
	dir, err := os.MkdirTemp("", "primrosehook")
	if err != nil {
		return eris.Wrap(err, "directory for programs cannot be created")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs, err := Build(ctx, dir)
	if err != nil {
		return err
	}
	return f(programs, output)
}
