package inspector

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"primrosehook/matcher"
	"primrosehook/platform"
)

// compare adds what differs from the version in force.
func (x *inspection) compare() {
	if x.Version <= x.former.Version {
		x.add(Error, "version", fmt.Sprintf("%d is not higher than version %d, which is in force: instances ignore it", x.Version, x.former.Version),
			fmt.Sprintf("use %d or more", x.former.Version+1))
	}
	matchEntries(x, "routes", x.former.Routes, x.Routes, func(r platform.RouteEntry) string { return r.Name }, x.compareRoutes)
	matchEntries(x, "services", x.former.Services, x.Services, func(s platform.ServiceEntry) string { return s.Name }, x.compareServices)
	matchEntries(x, "tenants", x.former.Accounts, x.Accounts, func(a platform.AccountEntry) string { return a.Name }, x.compareAccounts)
	a, b := x.former.Limits, x.Limits
	changed(x, "limits, max-header-bytes", a.MaxHeaderBytes, b.MaxHeaderBytes)
	changed(x, "limits, max-body-bytes", a.MaxBodyBytes, b.MaxBodyBytes)
	changed(x, "limits, header-timeout-ms", a.HeaderTimeout, b.HeaderTimeout)
	changed(x, "limits, idle-timeout-ms", a.IdleTimeout, b.IdleTimeout)
}

// matchEntries adds which entries of a list were added and removed, and compares the others.
// Of entries of one name the first counts.
func matchEntries[E any](x *inspection, list string, former, now []E, name func(E) string, compare func(place string, a, b E)) {
	for i, b := range now {
		p := fmt.Sprintf("%s %q", list, name(b))
		same := func(e E) bool { return name(e) == name(b) }
		if slices.IndexFunc(now, same) < i {
			continue
		}
		if j := slices.IndexFunc(former, same); j >= 0 {
			compare(p, former[j], b)
		} else {
			x.differs(p, "added")
		}
	}
	for _, a := range former {
		if !slices.ContainsFunc(now, func(e E) bool { return name(e) == name(a) }) {
			x.differs(fmt.Sprintf("%s %q", list, name(a)), "removed")
		}
	}
}

func (x *inspection) differs(place, text string) { x.add(Note, place, text, "") }

// changed adds a value that differs.
func changed[V comparable](x *inspection, place string, a, b V) {
	if a != b {
		x.differs(place, fmt.Sprintf("changed from %v to %v", a, b))
	}
}

func (x *inspection) compareRoutes(p string, a, b platform.RouteEntry) {
	changed(x, p+", host", strings.ToLower(a.Host), strings.ToLower(b.Host))
	changed(x, p+", path-prefix", a.Prefix, b.Prefix)
	changed(x, p+", kind", a.Kind, b.Kind)
	if !slices.Equal(a.Splits, b.Splits) {
		x.differs(p+", service", fmt.Sprintf("moved from %s to %s", shares(a.Splits), shares(b.Splits)))
	}
	for _, t := range []struct {
		field string
		a, b  time.Duration
	}{
		{"timeout-ms", a.Timeout, b.Timeout},
		{"target-latency-ms", a.LatencyTarget, b.LatencyTarget},
		{"gap-aim-ms", a.MaxEventGap, b.MaxEventGap},
	} {
		changed(x, p+", "+t.field, t.a, t.b)
	}
	changed(x, p+", priority", a.Priority, b.Priority)
	changed(x, p+", max-attempts", a.Attempts, b.Attempts)
	changed(x, p+", resumable", a.Resumable, b.Resumable)
	changed(x, p+", public", a.Public, b.Public)
}

// shares returns the services of a route with their weights.
func shares(splits []matcher.Split) string {
	if len(splits) == 1 {
		return fmt.Sprintf("%q", splits[0].Service)
	}
	var all []string
	for _, s := range splits {
		all = append(all, fmt.Sprintf("%q weight %d", s.Service, s.Weight))
	}
	return strings.Join(all, " and ")
}

func (x *inspection) compareServices(p string, a, b platform.ServiceEntry) {
	changed(x, p+", max-connections", a.Connections, b.Connections)
	var before, now matcher.Engine
	if a.Engine != nil {
		before = *a.Engine
	}
	if b.Engine != nil {
		now = *b.Engine
	}
	changed(x, p+", slots", before.Slots, now.Slots)
	changed(x, p+", kv-capacity", before.CacheTokens, now.CacheTokens)
	changed(x, p+", weights-mb", before.MemoryMB, now.MemoryMB)
	changed(x, p+", adapter-slots", before.AdapterSlots, now.AdapterSlots)
	changed(x, p+", loads-per-s", before.ColdLoadsPerSecond, now.ColdLoadsPerSecond)
	matchEntries(x, p+", models", a.Models, b.Models, func(m matcher.Model) string { return m.Name }, func(p string, a, b matcher.Model) {
		changed(x, p+", weights-mb", a.SizeMB, b.SizeMB)
		changed(x, p+", adapter-mb", a.AdapterSizeMB, b.AdapterSizeMB)
		changed(x, p+", adapters", a.Adapters, b.Adapters)
		changed(x, p+", load-s", a.ColdLoadTime, b.ColdLoadTime)
		changed(x, p+", warm-s", a.HostLoadTime, b.HostLoadTime)
		changed(x, p+", disk-s", a.DiskLoadTime, b.DiskLoadTime)
	})
}

func (x *inspection) compareAccounts(p string, a, b platform.AccountEntry) {
	if added, removed := missing(b.Keys, a.Keys), missing(a.Keys, b.Keys); added+removed > 0 {
		x.differs(p+", api-keys", fmt.Sprintf("%d added, %d removed", added, removed))
	}
	changed(x, p+", priority", priority(a), priority(b))
	changed(x, p+", unit", unit(a), unit(b))
	changed(x, p+", plain-tokens", a.PlainTokens, b.PlainTokens)
	changed(x, p+", rate-per-s", a.RatePerSecond, b.RatePerSecond)
	changed(x, p+", burst", a.Burst, b.Burst)
}

// missing returns how many of the keys are not among others.
func missing(keys, others []matcher.KeyDigest) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}

func priority(a platform.AccountEntry) string {
	if !a.HasPriority {
		return "none"
	}
	return fmt.Sprint(a.Priority)
}

func unit(a platform.AccountEntry) string {
	if a.Tokens {
		return "tokens"
	}
	return "requests"
}
