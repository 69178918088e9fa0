// Package framer encodes and decodes the frames exchanged between the system's
// own processes.
//
// A frame is a four-byte big-endian length and that many bytes of msgpack.
package framer

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the version of the message format that this build supports.
const Version = 1

// MaxFrame is the largest frame body in bytes, without the length.
const MaxFrame = 16 << 20

// readChunk is how many bytes of a body are allocated and read at a time, so
// that a peer cannot cause a large allocation by announcing a large length
// alone.
const readChunk = 64 << 10

// Errors of encoding and decoding frames.
var (
	ErrLength  = eris.New("frame length is out of bounds")
	ErrVersion = eris.New("peer message version is unknown")
	ErrBody    = eris.New("frame body is malformed")
	ErrMemory  = eris.New("there is no memory for the frame")
)

// Message is the content of a frame.
type Message struct {
	Version int    `msgpack:"v"`
	ID      uint64 `msgpack:"n"`
	Kind    string `msgpack:"k"`
	// Trace is the W3C traceparent of the sender's span, or empty.
	Trace string             `msgpack:"t,omitempty"`
	Body  msgpack.RawMessage `msgpack:"b"`
}

// lengthSize is the size of the length before each body, in bytes.
const lengthSize = 4

// Encode returns the bytes of one frame. It sets the message's version.
func Encode(m Message) ([]byte, error) {
	m.Version = Version
	body, err := msgpack.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "message cannot be encoded")
	}
	if len(body) > MaxFrame {
		return nil, ErrLength
	}
	frame := make([]byte, lengthSize, lengthSize+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// Write writes one frame.
func Write(w io.Writer, m Message) error {
	frame, err := Encode(m)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// Read reads one frame. With ErrVersion the message's ID is valid, so that the
// sender can be sent an error.
func Read(r io.Reader) (Message, error) {
	return ReadCharged(r, func(int) bool { return true })
}

// ReadCharged is Read for memory that is charged: each part of the body is allocated only if
// charge allows its number of bytes. Otherwise the error is ErrMemory.
func ReadCharged(r io.Reader, charge func(n int) bool) (Message, error) {
	var head [lengthSize]byte
	var m Message
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return m, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length == 0 || length > MaxFrame {
		return m, ErrLength
	}
	body, err := readBody(r, int(length), charge)
	if err != nil {
		return m, err
	}
	if err := Decode(body, &m); err != nil {
		return m, ErrBody
	}
	if m.Version != Version {
		return m, ErrVersion
	}
	return m, nil
}

// readBody reads a body in chunks, so that memory is allocated only as bytes
// arrive.
func readBody(r io.Reader, length int, charge func(int) bool) ([]byte, error) {
	var body []byte
	for len(body) < length {
		step := min(readChunk, length-len(body))
		if !charge(step) {
			return nil, ErrMemory
		}
		start := len(body)
		body = append(body, make([]byte, step)...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// Decode decodes untrusted msgpack. The library allocates memory for any
// announced length: eight bytes that announce a slice of 2^28 elements cost 4
// GB. The value is checked first: no length exceeds the data, and arrays and maps are not
// nested deeper than maxDepth.
func Decode(data []byte, v any) error {
	if !check(data) {
		return ErrBody
	}
	return msgpack.Unmarshal(data, v)
}
