package composer

import (
	"maps"
	"runtime"
	"slices"
)

// values are the numbers of an instance that are asked for when the metrics
// are read.
func (e *Entry) values() map[string]func() int64 {
	return map[string]func() int64{
		"config_version":          e.version,
		"config_age_ms":           func() int64 { return e.tails.config.Age().Milliseconds() },
		"registry_age_ms":         func() int64 { return e.tails.registry.Age().Milliseconds() },
		"instances":               func() int64 { return int64(e.duties.Instances()) },
		"lease_held":              func() int64 { return flag(e.duties.HoldsLease()) },
		"requests_waiting":        func() int64 { return int64(e.fleet.QueueLen()) },
		"servers_unreachable":     func() int64 { return int64(len(e.fleet.Unreachable())) },
		"server_connections_made": e.fleet.Dials.Count,
		"store_calls":             e.store.Calls,
		"memory_bytes":            memory,
	}
}

// expose shows all numbers, and those given from outside.
func (e *Entry) expose(more map[string]func() int64) {
	all := e.values()
	maps.Copy(all, more)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		e.metrics.Value(name, all[name])
	}
}

func (e *Entry) version() int64 {
	if t := e.relayer.Table(); t != nil {
		return t.Version
	}
	return -1
}

func memory() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.Sys)
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
