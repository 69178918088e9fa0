package entryassembler

import (
	"maps"
	"math"
	"runtime"
	"slices"

	"primrosehook/platform"
	"primrosehook/reserver"
	"primrosehook/upgrader"
)

// values returns the metrics that are computed at each read of the metrics, by
// name.
func (e *Entry) values() map[string]func() int64 {
	return map[string]func() int64{
		"ready":                   func() int64 { return boolValue(e.unready() == "") },
		"config_version":          e.configVersion,
		"config_age_ms":           func() int64 { return e.tails.config.Age().Milliseconds() },
		"registry_age_ms":         func() int64 { return e.tails.registry.Age().Milliseconds() },
		"instances":               func() int64 { return int64(e.coordinator.Instances()) },
		"builds_in_fleet":         func() int64 { return int64(len(e.coordinator.Builds())) },
		"build_formats":           func() int64 { return upgrader.Formats },
		"lease_held":              func() int64 { return boolValue(e.coordinator.HoldsLease()) },
		"demand_growth_predicted": e.coordinator.PredictedGrowth,
		"keys_not_served":         e.coordinator.Unserved,
		"requests_waiting":        func() int64 { return int64(e.fleet.QueueLen()) },
		"servers_behind_peers":    func() int64 { return int64(e.detourer.BrokenPaths()) },
		"servers_unreachable":     func() int64 { return int64(len(e.fleet.Unavailable())) },
		"servers_slow":            func() int64 { return int64(e.fleet.SlowServers()) },
		"server_connections_made": e.fleet.Dials.Count,
		"memory_bytes":            memoryBytes,
		"panics_recovered":        e.recoverer.Count,
		"allot_fraction_permille": func() int64 { return permille(e.allotter.Status().Fraction) },
		"allot_arbiter_age_ms":    func() int64 { return e.allotter.Status().Age.Milliseconds() },
		"allot_members":           func() int64 { return int64(e.allotter.Status().Members) },
		"allot_members_permille":  func() int64 { return permille(e.allotter.Status().Delegated) },
		"allot_unknown_permille":  func() int64 { return permille(e.allotter.Status().Unknown) },
	}
}

// exposeMetrics registers the instance's values and the additional ones.
func (e *Entry) exposeMetrics(more map[string]func() int64) {
	all := e.values()
	for _, kind := range platform.CallKinds {
		all["store_calls_"+kind] = func() int64 { return e.store.Calls(kind) }
	}
	for _, kind := range reserver.Kinds() {
		all["memory_held_"+kind.String()] = func() int64 { return e.memory.Held(kind) }
		all["memory_refused_"+kind.String()] = func() int64 { return e.memory.Refused(kind) }
		all["memory_ended_"+kind.String()] = func() int64 { return e.memory.Ended(kind) }
	}
	all["connections_closed_idle"] = e.closedConns.Idle.Load
	all["connections_closed_head_overdue"] = e.closedConns.Heads.Load
	all["connections_closed_head_memory"] = e.closedConns.HeadMemory.Load
	maps.Copy(all, more)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		e.metrics.Gauge(name, all[name])
	}
}

// configVersion returns the version of the configuration in effect, -1 for none.
func (e *Entry) configVersion() int64 {
	if t := e.relayer.Table(); t != nil {
		return t.Version
	}
	return -1
}

// memoryBytes returns the memory obtained from the operating system.
func memoryBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.Sys)
}

// permille returns a fraction in parts of a thousand.
func permille(fraction float64) int64 { return int64(math.Round(fraction * 1000)) }

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
