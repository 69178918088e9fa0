package serveassembler

import (
	"expvar"
	"runtime"
	"runtime/metrics"
)

// Traffic counts the bytes exchanged with the platform's services since the
// start.
type Traffic struct {
	Sent     int64 `json:"bytes_sent"`
	Received int64 `json:"bytes_received"`
}

// Lines counts log lines.
type Lines struct {
	// Dropped were not written: nobody read the output, or it failed.
	Dropped int64 `json:"lines_dropped"`
}

// Process is the resource usage of the process.
type Process struct {
	// CPUSeconds is the CPU time of goroutines in seconds, without that of the
	// garbage collector.
	CPUSeconds float64 `json:"cpu_seconds"`
	Heap       uint64  `json:"heap_bytes"`
	Goroutines int     `json:"goroutines"`
}

// ClosedConnections counts the connections that were closed for others: idle ones, those with a
// head that was incomplete for too long, and those with a head for which there was no memory.
type ClosedConnections struct {
	Idle        int64 `json:"closed_idle"`
	HeadOverdue int64 `json:"closed_head_overdue"`
	HeadMemory  int64 `json:"closed_head_memory"`
}

// metrics returns the counters of all components except the server, which adds
// its own.
func (i *Instance) metrics() *expvar.Map {
	m := new(expvar.Map).Init()
	m.Set("peers", expvar.Func(func() any { return i.messages.Stats().Add(i.peers.Stats()) }))
	m.Set("platform", expvar.Func(func() any {
		return Traffic{Sent: i.meter.Sent.Load(), Received: i.meter.Received.Load()}
	}))
	m.Set("dispatcher", expvar.Func(func() any { return i.dispatch.State().Counts }))
	m.Set("writer", expvar.Func(func() any { return i.writer.Stats() }))
	m.Set("runner", expvar.Func(func() any { return i.jobs.runner.Stats() }))
	m.Set("connections", expvar.Func(func() any {
		return ClosedConnections{Idle: i.closed.Idle.Load(), HeadOverdue: i.closed.Heads.Load(), HeadMemory: i.closed.HeadMemory.Load()}
	}))
	m.Set("log", expvar.Func(func() any { return Lines{Dropped: i.linesDropped()} }))
	m.Set("process", expvar.Func(func() any { return readProcess() }))
	return m
}

func readProcess() Process {
	samples := []metrics.Sample{{Name: "/cpu/classes/user:cpu-seconds"}, {Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(samples)
	return Process{
		CPUSeconds: samples[0].Value.Float64(),
		Heap:       samples[1].Value.Uint64(),
		Goroutines: runtime.NumGoroutine(),
	}
}
