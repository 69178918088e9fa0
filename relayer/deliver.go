package relayer

import (
	"net/http"
	"slices"
	"time"

	"primrosehook/peeker"
	"primrosehook/reserver"
)

// drainInterval is how often it is looked whether a client receives what the kernel holds for it.
const drainInterval = 500 * time.Millisecond

// deliver sends the body of an answer. If its client does not read it while other answers wait for its
// memory, it stops, and slowClient is set.
func (t *attempt) deliver() error {
	if len(t.answerBody) <= reserver.SmallBytes {
		_, err := t.writer.Write(t.answerBody)
		return err
	}
	control := http.NewResponseController(t.writer)
	// Writers that can't have a deadline are those of tests.
	t.answerHeld.OnUnread(func() { _ = control.SetWriteDeadline(t.clock.Now()) })
	done := make(chan struct{})
	defer close(done)
	go t.loopDrain(done)
	for piece := range slices.Chunk(t.answerBody, writeChunk) {
		_, err := t.writer.Write(piece)
		if t.answerHeld.Ended() {
			t.recordSlowClient()
			return nil
		}
		if err != nil {
			return err
		}
		t.answerHeld.Progress(len(piece))
	}
	t.answerHeld.Keep()
	return nil
}

// loopDrain records what the client receives as progress until done is closed. A write that waits does
// not show it: it goes on once a third of the kernel's buffer is free, some megabytes on a fast link.
func (t *attempt) loopDrain(done <-chan struct{}) {
	ticker := t.clock.NewTicker(drainInterval)
	defer ticker.Stop()
	client, _ := peeker.Client(t.request.Context())
	last := 0
	for {
		select {
		case <-done:
			return
		case <-ticker.Chan():
		}
		waiting := peeker.Unreceived(client)
		if waiting < last {
			t.answerHeld.Progress(writeChunk)
		}
		last = waiting
	}
}
