package main

import (
	"context"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"primrosehook/logger"
)

// surviveOutput makes writes to standard output and standard error fail once their reader
// has ended. By default Go ends a process that writes to such a pipe.
func surviveOutput() { signal.Ignore(syscall.SIGPIPE) }

// logCloseTimeout limits how long the exit waits for queued log lines to be written.
const logCloseTimeout = 200 * time.Millisecond

func closeLog(lines *logger.Writer) {
	ctx, cancel := context.WithTimeout(context.Background(), logCloseTimeout)
	defer cancel()
	lines.Close(ctx)
}

// printError prints an error before the exit of an instance, which does not wait for long
// if nobody reads it.
func printError(w io.Writer, err error) {
	lines := logger.NewWriter(w, clockwork.NewRealClock())
	go lines.Run()
	// Write never fails.
	_, _ = lines.Write([]byte(err.Error() + "\n"))
	closeLog(lines)
}
