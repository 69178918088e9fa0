package framer_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"primrosehook/framer"
)

func TestFramer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "framer")
}

// frame returns a body after a length that need not match it.
func frame(length uint32, body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, length), body...)
}

func encoded(m framer.Message) []byte {
	data, err := framer.Encode(m)
	if err != nil {
		panic(err)
	}
	return data
}

// readSizeRecorder records the largest read requested from a reader.
type readSizeRecorder struct {
	r       io.Reader
	largest int
}

func (c *readSizeRecorder) Read(p []byte) (int, error) {
	c.largest = max(c.largest, len(p))
	return c.r.Read(p)
}

var _ = Describe("Read", func() {
	It("returns the message that was written", func() {
		var wire bytes.Buffer
		m := framer.Message{ID: 7, Kind: "k", Trace: "00-a-b-01", Body: msgpack.RawMessage{0x80}}
		Expect(framer.Write(&wire, m)).To(Succeed())
		got, err := framer.Read(&wire)
		Expect(err).NotTo(HaveOccurred())
		m.Version = framer.Version
		Expect(got).To(Equal(m))
	})

	DescribeTable("fails on", func(data []byte, want error) {
		_, err := framer.Read(bytes.NewReader(data))
		Expect(err).To(MatchError(want))
	},
		Entry("empty input", []byte{}, io.EOF),
		Entry("a truncated length", []byte{0, 0}, io.ErrUnexpectedEOF),
		Entry("a zero length", frame(0, nil), framer.ErrLength),
		Entry("a huge length", frame(framer.MaxFrame+1, nil), framer.ErrLength),
		Entry("a negative length", frame(1<<31, nil), framer.ErrLength),
		Entry("a length of all ones", frame(1<<32-1, nil), framer.ErrLength),
		Entry("a truncated body", frame(9, []byte{1}), io.ErrUnexpectedEOF),
		Entry("a body that is not a map", frame(1, []byte{0xc1}), framer.ErrBody),
		Entry("nested arrays of huge length", frame(9, bytes.Repeat([]byte{0xdd, 0xff, 0xff}, 3)), framer.ErrBody),
	)

	It("returns the ID of a message of an unknown version", func() {
		body, err := msgpack.Marshal(framer.Message{Version: 99, ID: 5, Kind: "k", Body: msgpack.RawMessage{0xc0}})
		Expect(err).NotTo(HaveOccurred())
		m, err := framer.Read(bytes.NewReader(frame(uint32(len(body)), body)))
		Expect(err).To(MatchError(framer.ErrVersion))
		Expect(m.ID).To(BeEquivalentTo(5))
	})

	It("allocates no memory for a large length before its bytes arrive", func() {
		c := &readSizeRecorder{r: bytes.NewReader(frame(framer.MaxFrame, []byte{1, 2, 3}))}
		_, err := framer.Read(c)
		Expect(err).To(HaveOccurred())
		Expect(c.largest).To(BeNumerically("<=", 64<<10))
	})

	It("does not encode a message over the limit", func() {
		m := framer.Message{Body: make([]byte, framer.MaxFrame)}
		_, err := framer.Encode(m)
		Expect(err).To(MatchError(framer.ErrLength))
	})
})

// FuzzRead decodes arbitrary bytes. Read must return without allocating more
// than the bytes that arrived require, and a decoded message must encode again
// and decode to the same message.
func FuzzRead(f *testing.F) {
	f.Add(encoded(framer.Message{ID: 1, Kind: "beat", Body: msgpack.RawMessage{0x80}}))
	f.Add(frame(1<<31, []byte{1}))
	f.Add(frame(0, nil))
	f.Add(frame(framer.MaxFrame, []byte{0x85}))
	f.Add(frame(5, []byte{0xdf, 0xff, 0xff, 0xff, 0xff}))
	f.Add(frame(3, []byte{0x81, 0xa1, 'v'}))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := framer.Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		again, err := framer.Encode(m)
		if err != nil {
			t.Fatalf("message %+v does not encode: %v", m, err)
		}
		got, err := framer.Read(bytes.NewReader(again))
		if err != nil {
			t.Fatalf("message %+v does not decode again: %v", m, err)
		}
		if got.ID != m.ID || got.Kind != m.Kind || !bytes.Equal(got.Body, m.Body) {
			t.Fatalf("got %+v, want %+v", got, m)
		}
	})
}
