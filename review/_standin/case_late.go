package main

import (
	"strings"
	"time"
)

const (
	// heldFrom is how many orders the server accepts before the load that gets no answer,
	// heldFor how much later that is carried out. The pages allow 2 to 12 s.
	heldFrom = "3"
	heldFor  = 10 * time.Second
	// serverDown is how long the server is down after its crash.
	serverDown = 2 * time.Second
)

// runLateOrder is a load that gets no answer and is carried out late, after the server and the
// lease holder have started again.
func runLateOrder([]string) int {
	f := newFleet(20*time.Second, 3)
	f.configure(8)
	flags := []string{"-models", "m0,m1,m2"}
	if troubled() {
		flags = append(flags, "-hold-from", heldFrom, "-hold-for", heldFor.String())
	}
	id := f.startServer(0, "pool", flags...)
	f.startInstances()
	c := newClients(f)
	c.demand([]string{"m0", "m1", "m2"}, 6, 6*time.Second)
	c.demand([]string{"m0", "m1", "m3"}, 6, 8*time.Second)
	if troubled() {
		go func() {
			for !strings.Contains(f.journal(id), "gets no answer") {
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond)
			holder := f.leaseHolder()
			f.note("the server and %s, which holds the lease, are killed", holder)
			go func() {
				f.kill(holder)
				time.Sleep(restartDelay)
				f.up(holder)
				f.note("%s is started again", holder)
			}()
			f.kill(id)
			time.Sleep(serverDown)
			f.up(id)
			f.note("the server is started again under its ID, without models")
		}()
	}
	c.demand([]string{"m0", "m1", "m4"}, 6, 2500*time.Millisecond)
	c.demand([]string{"m0", "m1", "m2"}, 6, 20*time.Second)
	c.work.Wait()
	switch journal := f.journal(id); {
	case strings.Contains(journal, " LIMIT "):
		return finish(f, exitBroken)
	case troubled() && !strings.Contains(journal, "late order"):
		f.note("no order was carried out late")
		return finish(f, exitNotRun)
	}
	return finish(f, exitHeld)
}
