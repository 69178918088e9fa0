package main

import (
	"fmt"
	"net/http"
	"time"
)

// finish ends a case and returns its exit code.
func finish(f *fleet, code int) int {
	text := map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitNotRun: "the case could not run"}[code]
	f.note("%s", text)
	f.close()
	fmt.Println(text)
	return code
}

func names(from, to int) []string {
	var list []string
	for m := from; m < to; m++ {
		list = append(list, modelName(m))
	}
	return list
}

// startPool starts two servers of models, which have the first two of eight models, and the
// instances.
func startPool(keep time.Duration) (*fleet, *clients) {
	f := newFleet(keep, 3)
	f.configure(8)
	f.startServer(0, "pool", "-models", "m0,m1")
	f.startServer(1, "pool", "-models", "m0,m1")
	f.startInstances()
	return f, newClients(f)
}

// runDrill is a drill of the store, after which the demand moves to other models.
func runDrill([]string) int {
	f, c := startPool(20 * time.Second)
	c.demand(names(0, 2), 6, 28*time.Second)
	f.noteStore()
	f.note("lease holder: %s", f.leaseHolder())
	if troubled() {
		f.note("drill: the store is away for 0.5 s and comes back from a copy that is 2 s old")
		resp, err := http.Post("http://"+f.storeAddress()+"/drill?away=500ms&age=2s", "", nil)
		must(err)
		_ = resp.Body.Close()
	}
	c.demand(names(0, 2), 6, 8*time.Second)
	f.noteStore()
	c.demand(names(2, 8), 6, 30*time.Second)
	f.noteStore()
	return finish(f, c.checkStarved())
}

// runOutage is a loss of power of all instances that lasts longer than the store keeps records.
func runOutage([]string) int {
	f, c := startPool(20 * time.Second)
	c.demand(names(0, 2), 6, 8*time.Second)
	if troubled() {
		f.note("all instances lose power")
		for i := range f.instances {
			f.kill(fmt.Sprintf("front-%d", i+1))
		}
		time.Sleep(23 * time.Second)
		f.noteStore()
		for i := range f.instances {
			f.up(fmt.Sprintf("front-%d", i+1))
		}
		f.note("all instances have power again")
	}
	f.await("the instances", func() bool { return f.ready(0) && f.ready(1) && f.ready(2) })
	c.demand(names(0, 2), 6, 12*time.Second)
	f.noteStore()
	c.demand(names(2, 8), 6, 30*time.Second)
	f.noteStore()
	return finish(f, c.checkStarved())
}
