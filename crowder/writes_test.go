package crowder_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// bursts is how often the writes are sent.
	bursts = 4
	// writeMemory is the memory of the instance in MB.
	writeMemory = 284
)

// write sends a write of a size and returns the status, 0 if there was none or the answer had less
// than a size.
func (n *instance) write(id string, size, answerSize int) int {
	q, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/book/1", bytes.NewReader(make([]byte, size)))
	Expect(err).NotTo(HaveOccurred())
	q.Host, q.Close = "h", true
	q.Header.Set("Primrosehook-Request-Id", id)
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0
	}
	defer p.Body.Close()
	answer, err := io.ReadAll(p.Body)
	if err != nil || p.StatusCode == http.StatusOK && len(answer) < answerSize {
		return 0
	}
	return p.StatusCode
}

var _ = Describe("Large writes with large answers, many at a time", func() {
	// Guards against answers that take an instance over its memory, and against writes that ran and
	// whose answer is cut off or replaced for lack of memory.
	DescribeTable("keep an instance of 284 MB within its memory, and none that is accepted is cut", func(writers, size, answer int) {
		n := startInstance(buildProgram(GinkgoT().TempDir()), GinkgoT().TempDir(), writeMemory)
		n.engine.SetAnswerBytes(answer)
		var mu sync.Mutex
		codes := map[int]int{}
		for burst := range bursts {
			var group sync.WaitGroup
			for i := range writers {
				group.Go(func() {
					defer GinkgoRecover()
					code := n.write(fmt.Sprintf("write-%d-%d", burst, i), size, size+answer)
					mu.Lock()
					defer mu.Unlock()
					codes[code]++
				})
			}
			group.Wait()
		}
		peak := n.memory("VmHWM")
		ran := len(n.engine.Arrivals())
		AddReportEntry("held", fmt.Sprintf("peak %.0f MiB, statuses %v, %d ran", peak, codes, ran))
		Expect(n.exited).NotTo(BeClosed(), "the process has ended")
		Expect(peak).To(BeNumerically("<=", writeMemory), "peak of memory in MiB")
		Expect(codes[http.StatusOK]).To(Equal(ran), "writes that ran have their whole answer")
		n.engine.SetAnswerBytes(0)
		n.expectServed("small", 100)
	},
		Entry("30 writes of 4 MiB whose answers have 4 MiB", 30, 4<<20, 0),
		Entry("30 writes of 4 MiB whose answers have 16 MiB", 30, 4<<20, 12<<20-100),
		Entry("60 small writes whose answers have 8 MiB", 60, 100, 8<<20),
	)
})
