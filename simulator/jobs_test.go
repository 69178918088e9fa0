package simulator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/judge"
	"primrosehook/server"
)

// callTimeout limits one call.
const callTimeout = 10 * time.Second

// job is an accepted job: its ID and the text of its request.
type job struct{ id, text string }

// jobState is the response to fetching a job.
type jobState struct {
	Status   string `json:"status"`
	Response *struct {
		Status int             `json:"status_code"`
		Body   json.RawMessage `json:"body"`
	} `json:"response"`
}

// acceptJob submits a job to a random entry instance.
func acceptJob(ctx context.Context, c *cluster, key, text string) response {
	body := fmt.Sprintf(`{"url":"/v1/chat/completions","body":{"model":"tiny","max_tokens":20,"messages":[{"role":"user","content":%q}]}}`, text)
	return sendRequest(ctx, "POST", c.randomEntry().URL()+"/v1/jobs", key, body, callTimeout)
}

// fetchJob fetches a job from a random entry instance. It returns the zero
// state if that fails.
func fetchJob(ctx context.Context, c *cluster, id string) jobState {
	var state jobState
	a := sendRequest(ctx, "GET", c.randomEntry().URL()+"/v1/jobs/"+id, "", "", callTimeout)
	if a.status == http.StatusOK {
		_ = json.Unmarshal([]byte(a.body), &state)
	}
	return state
}

var _ = Describe("jobs accepted by real processes", func() {
	DescribeTable("are all completed and can be fetched from any instance, under injected faults and the loss of every instance",
		func(ctx context.Context, seed int64) {
			c := startCluster(ctx, programs, seed)
			for range 2 {
				_, err := c.Engine(ctx, "-pool", "gpu", "-model", "tiny", "-step", "30ms")
				Expect(err).NotTo(HaveOccurred())
			}
			publishFirst(ctx, c)
			var accepted []job
			refused := 0
			for round := range 6 {
				var g sync.WaitGroup
				m := &faultInjection{cluster: c, group: &g}
				g.Add(1)
				go m.run(ctx)
				for n := range 6 {
					text := fmt.Sprintf("digest %d-%d of seed %d", round, n, seed)
					a := acceptJob(ctx, c, fmt.Sprintf("key-%d-%d", round, n), text)
					c.pause(200)
					var got struct{ ID string }
					switch {
					case a.status == http.StatusAccepted:
						Expect(json.Unmarshal([]byte(a.body), &got)).To(Succeed())
						accepted = append(accepted, job{got.ID, text})
					case a.verdict == judge.NotRun:
						refused++
					}
				}
				g.Wait()
			}
			c.clearFaults(ctx)
			// Replace every instance that has accepted a job.
			for range c.allEntries() {
				c.replaceEntry(ctx)
			}
			for _, p := range c.allEntries() {
				Eventually(func() int64 { v, _ := inForce(ctx, p); return v }, waitLimit, "50ms").Should(BeNumerically(">", 0))
			}
			Expect(len(accepted)).To(BeNumerically(">", 10))
			for _, j := range accepted {
				var state jobState
				Eventually(func() string { state = fetchJob(ctx, c, j.id); return state.Status }, "90s", "100ms").
					Should(Equal(server.JobDone), "seed %d: %s", seed, j.text)
				Expect(strings.Contains(string(state.Response.Body), j.text)).To(BeTrue(), "seed %d: %s is not in %s", seed, j.text, state.Response.Body)
			}
			AddReportEntry(fmt.Sprintf("seed %d: %d accepted and completed, %d refused", seed, len(accepted), refused))
		},
		Entry("seed 31", int64(31)),
		Entry("seed 32", int64(32)),
	)
})
