package reserver

import (
	"errors"
	"io"
)

// ErrMemory ends the reading of a body for which there is no memory.
var ErrMemory = errors.New("no memory for the body")

// ReadAll reads all of a body into a buffer of the size first, for which memory is
// reserved. The buffer is doubled, up to a size, each time after the memory is reserved by grow.
// After an error nothing is held for it any more.
func ReadAll(body io.Reader, first, largest int64, held *Reservation, grow func(int64) bool) ([]byte, error) {
	read, _, err := ReadFitting(body, first, largest, held, grow)
	if errors.Is(err, ErrMemory) {
		held.Shrink(int64(cap(read)))
		return nil, err
	}
	return read, err
}

// ReadFitting is ReadAll, but with ErrMemory it returns what it has read, whose memory stays reserved,
// and the byte that follows.
func ReadFitting(body io.Reader, first, largest int64, held *Reservation, grow func(int64) bool) (read, next []byte, err error) {
	buffer := make([]byte, 0, first)
	var probe [1]byte
	for {
		free := buffer[len(buffer):cap(buffer)]
		if len(free) == 0 {
			free = probe[:]
		}
		n, err := body.Read(free)
		held.Progress(n)
		if len(buffer) == cap(buffer) && n > 0 {
			old := int64(cap(buffer))
			larger := min(2*old, max(largest, old+1))
			if !grow(larger) {
				return buffer, probe[:], ErrMemory
			}
			buffer = append(make([]byte, 0, larger), buffer...)
			held.Shrink(old)
			buffer = append(buffer, probe[0])
		} else {
			buffer = buffer[:len(buffer)+n]
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil, nil
		}
		if err != nil {
			held.Shrink(int64(cap(buffer)))
			return nil, nil, err
		}
	}
}
