package crowder_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// smallestMemory and smallestDescriptors are those of the smallest machine of the platform.
	smallestMemory, smallestDescriptors = 144, 3075
	// largestBody is the largest body that its configuration allows.
	largestBody = 4 << 20
)

// sendSized sends most of a body of a size in pieces, whole or in chunks, with a pause between
// pieces.
func sendSized(w io.Writer, i, size, piece int, chunked bool, pause time.Duration) error {
	framing := fmt.Sprint("Content-Length: ", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	if err := writeHead(w, i, framing); err != nil {
		return err
	}
	data, together := strings.Repeat("x", piece), max(1, (16<<10)/piece)
	if chunked {
		data = fmt.Sprintf("%x\r\n%s\r\n", piece, data)
	}
	data = strings.Repeat(data, together)
	for sent := 0; sent+piece*together < size; sent += piece * together {
		if _, err := io.WriteString(w, data); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// sendMixed sends bodies of four sizes at two rates, declared or in chunks, heads that never end
// and bodies far over the limit.
func sendMixed(i int, w io.Writer) error {
	switch i % 8 {
	case 0:
		return sendEndlessHead(i, w)
	case 1:
		return sendOversized(i, w)
	case 2:
		return sendSized(w, i, largestBody, 64<<10, false, 0)
	case 3:
		return sendSized(w, i, largestBody, 16<<10, true, 5*time.Millisecond)
	case 4:
		return sendSized(w, i, largestBody/4, 1<<10, true, 0)
	case 5:
		return sendSized(w, i, 60<<10, 1<<10, false, 20*time.Millisecond)
	case 6:
		return sendSized(w, i, 2<<20, 200<<10, false, 50*time.Millisecond)
	}
	return sendSized(w, i, 60<<10, 7, true, 0)
}

// sendMessages sends a message to the port for peers that stops short of its end.
func sendMessages(i int, w io.Writer) error {
	size := []int{1 << 10, 1 << 20, 15 << 20}[i%3]
	if _, err := w.Write(binary.BigEndian.AppendUint32(nil, uint32(size))); err != nil {
		return err
	}
	return writePieces(w, size-short, 64<<10)
}

var _ = Describe("An instance with the limits of the smallest machine", Ordered, ContinueOnFailure, func() {
	var program string
	BeforeAll(func() { program = buildProgram(GinkgoT().TempDir()) })

	// Guards against client loads of other sizes, rates and mixes than those that the limits were
	// first made for.
	DescribeTable("stays below its memory and serves others during the load and after it",
		func(front, control func(i int, w io.Writer) error) {
			n := startInstance(program, GinkgoT().TempDir(), smallestMemory, smallestDescriptors)
			var crowds []*crowd
			var loads sync.WaitGroup
			for address, send := range map[string]func(i int, w io.Writer) error{n.front: front, n.control: control} {
				if send == nil {
					continue
				}
				c := &crowd{instance: n, address: address}
				crowds = append(crowds, c)
				loads.Go(func() { c.gather(send) })
			}
			n.expectServed("during", 100)
			loads.Wait()
			n.expectServed("beside", 100)
			for _, c := range crowds {
				c.leave()
			}
			n.expectServed("after", 100)
			Expect(n.exited).NotTo(BeClosed(), "the process has ended")
			peak, files := n.memory("VmHWM"), n.descriptors()
			AddReportEntry("held", fmt.Sprintf("peak %.0f MiB, %d descriptors", peak, files))
			Expect(peak).To(BeNumerically("<", smallestMemory), "peak of memory in MiB")
			Expect(files).To(BeNumerically("<", smallestDescriptors), "open descriptors")
		},
		Entry("bodies of the largest size, at once", func(i int, w io.Writer) error {
			return sendSized(w, i, largestBody, 256<<10, false, 0)
		}, nil),
		Entry("chunked bodies of the largest size, slowly", func(i int, w io.Writer) error {
			return sendSized(w, i, largestBody, 64<<10, true, 20*time.Millisecond)
		}, nil),
		Entry("chunked bodies in chunks of a few bytes", func(i int, w io.Writer) error {
			return sendSized(w, i, largestBody/8, 3, true, 0)
		}, nil),
		Entry("bodies of 60 KiB", func(i int, w io.Writer) error {
			return sendSized(w, i, 60<<10, 6<<10, false, time.Millisecond)
		}, nil),
		Entry("bodies far over the limit", sendOversized, nil),
		Entry("messages to the port for peers", nil, sendMessages),
		Entry("all of them at the same time", sendMixed, sendMessages),
	)

	// Guards against streams whose clients don't read and whose buffers nobody counts.
	It("serves others beside clients that don't read their answers", func() {
		n := startInstance(program, GinkgoT().TempDir(), smallestMemory, smallestDescriptors)
		n.engine.SetAnswerBytes(8 << 20)
		c := &crowd{instance: n}
		defer c.leave()
		c.gather(func(i int, w io.Writer) error {
			if err := writeHead(w, i, "Content-Length: 1"); err != nil {
				return err
			}
			_, err := io.WriteString(w, "x")
			return err
		})
		n.engine.SetAnswerBytes(0)
		n.expectServed("beside", 100)
		c.leave()
		n.expectServed("after", 100)
		peak := n.memory("VmHWM")
		AddReportEntry("held", fmt.Sprintf("peak %.0f MiB", peak))
		Expect(peak).To(BeNumerically("<", smallestMemory), "peak of memory in MiB")
		Expect(n.send("last", 100)).To(Equal(http.StatusOK))
	})
})
