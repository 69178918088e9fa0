package logger

import (
	"bytes"
	stdlog "log"

	"go.uber.org/zap"
)

// RedirectStandard makes the standard library's default logger write to log. By default
// it writes to standard error, and blocks its callers, some of which hold locks, while
// nobody reads that.
func RedirectStandard(log *zap.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(&standard{log})
}

// NewStandard returns a logger of the standard library that writes to log.
func NewStandard(log *zap.Logger) *stdlog.Logger { return stdlog.New(&standard{log}, "", 0) }

// standard logs each line that it is given.
type standard struct{ log *zap.Logger }

// Write implements io.Writer.
func (s *standard) Write(line []byte) (int, error) {
	s.log.Warn("log: message of a library", zap.ByteString("text", bytes.TrimSpace(line)))
	return len(line), nil
}
