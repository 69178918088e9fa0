package inspector

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"time"

	"primrosehook/matcher"
	"primrosehook/platform"
)

func (x *inspection) inspectRoutes() {
	names, prefixes := map[string]int{}, map[string]int{}
	for i, r := range x.Routes {
		at := func(field string) string { return place("routes", i, r.Name, field) }
		if first, ok := names[r.Name]; ok {
			x.add(Error, at("name"), fmt.Sprintf("routes[%d] has the same name", first), "give each route a name of its own")
		} else {
			names[r.Name] = i
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			x.add(Error, at("path-prefix"), fmt.Sprintf("%q does not begin and end with a slash", r.Prefix), "write it as /name/")
		}
		if first, ok := prefixes[hostKey(r)]; ok {
			x.add(Warning, at("path-prefix"), fmt.Sprintf("never matches: %s has the same host and prefix and comes first",
				place("routes", first, x.Routes[first].Name, "")), "remove one of the two or change its prefix")
		} else {
			prefixes[hostKey(r)] = i
		}
		if r.Host == "" {
			x.add(Warning, at("host"), "matches no request that names a host", "name the host")
		} else if _, _, err := net.SplitHostPort(r.Host); err == nil {
			x.add(Warning, at("host"), "never matches: the port of a request is not compared", "leave the port out")
		}
		if !slices.Contains(platform.RouteKinds, r.KindText) {
			x.add(Error, at("kind"), fmt.Sprintf("%q is unknown and counts as non_idempotent", r.KindText), "use idempotent, non_idempotent or streaming")
		}
		x.inspectTimes(r, at)
		x.inspectSplits(r, at)
		if r.Resumable && r.Kind != matcher.Streaming {
			x.add(Warning, at("resumable"), "only streams can be resumed", "remove it, or make the kind streaming")
		}
		if x.settings != nil && x.settings.RetryRatio <= 0 && r.Attempts > 1 {
			x.add(Warning, at("max-attempts"), fmt.Sprintf("%d attempts, but the settings have a retry-budget-ratio of 0: all instances together make at most %d retries in a window",
				r.Attempts, x.settings.RetrySlack), "raise retry-budget-ratio in the settings or set max-attempts to 1")
		}
	}
}

// inspectTimes checks the times of a route.
func (x *inspection) inspectTimes(r platform.RouteEntry, at func(string) string) {
	for _, t := range []struct {
		field string
		value time.Duration
	}{{"timeout-ms", r.Timeout}, {"target-latency-ms", r.LatencyTarget}, {"gap-aim-ms", r.MaxEventGap}} {
		x.requireTime(at(t.field), t.value)
	}
	if r.Timeout <= 0 {
		return
	}
	if r.Timeout < r.LatencyTarget {
		x.add(Warning, at("timeout-ms"), fmt.Sprintf("requests end after %s, before their objective target-latency-ms of %s", r.Timeout, r.LatencyTarget),
			"raise the timeout or lower the objective")
	}
	if r.MaxEventGap > r.Timeout {
		x.add(Warning, at("gap-aim-ms"), fmt.Sprintf("a pause of %s is longer than the timeout of %s", r.MaxEventGap, r.Timeout),
			"raise the timeout or lower gap-aim-ms")
	}
}

func (x *inspection) requireTime(place string, value time.Duration) {
	if value < 0 {
		x.add(Error, place, "the time is negative", "use a positive time, or 0 for none")
	}
}

// inspectSplits checks which services a route leads to, and with which weights.
func (x *inspection) inspectSplits(r platform.RouteEntry, at func(string) string) {
	field := func(j int) string {
		if len(r.Weights) == 0 {
			return at("service")
		}
		return at(fmt.Sprintf("traffic-split[%d]", j))
	}
	positive := 0
	for j, s := range r.Splits {
		if s.Weight > 0 {
			positive++
		}
		switch {
		case s.Service == "":
			x.add(Error, field(j), "no service is named", "name a service")
		case !x.isDefined(s.Service):
			x.add(Error, field(j), fmt.Sprintf("service %q is not defined", s.Service), "add it to services or correct the name")
		}
	}
	if positive == 0 {
		x.add(Warning, at("traffic-split"), fmt.Sprintf("no weight is at least 1: all requests go to the first service, %q", r.Splits[0].Service),
			"give a service a positive weight")
		return
	}
	for j, w := range r.Weights {
		switch {
		case w < 1:
			x.add(Warning, field(j), fmt.Sprintf("weight %v: service %q gets no requests of this route", w, r.Splits[j].Service),
				"remove the entry or give it a weight of at least 1")
		case w != math.Trunc(w):
			x.add(Warning, field(j), fmt.Sprintf("weight %v counts as %d", w, r.Splits[j].Weight), "use whole weights")
		}
	}
}
