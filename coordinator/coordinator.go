// Package coordinator lets one instance at a time have the view of the whole
// and give orders to servers.
//
// The instance that holds the lease is the coordinator. Every instance reports
// to it what it has in flight and what is asked for, and gets back what the
// others have in flight, what the registry and the configuration say, and what
// orders have changed. While there is no coordinator, instances go on with what
// they know and read the registry themselves; only orders have to wait.
package coordinator

import (
	"time"

	"primrosehook/balancer"
	"primrosehook/quarantiner"
	"primrosehook/tailer"
)

const (
	// kindExchange names the message between instances.
	kindExchange = "exchange"
	// leastInterval is the pause between two reports of an instance, and
	// perInstance what each instance adds to it, so that the coordinator's
	// work does not grow faster than the number of instances.
	leastInterval = 150 * time.Millisecond
	perInstance   = 4 * time.Millisecond
	// patienceLeast and patienceEach make the pause after failed calls: all
	// instances together call a store that is away some 40 times a second.
	patienceLeast = 700 * time.Millisecond
	patienceEach  = 25 * time.Millisecond
	// memberAge is how long an instance counts after its last report.
	memberAge = 3 * time.Second
	// exchangeTimeout bounds a report and its reply.
	exchangeTimeout = 500 * time.Millisecond
	// downAge is how long a report that a server is down counts.
	downAge = time.Second
	// attend is how long a reply is held back for an instance whose requests
	// wait for an order.
	attend = 150 * time.Millisecond
	// freshAge is how old the coordinator's last reading may be for others to
	// rely on it: its longest read that waits for a change, and a margin.
	freshAge = 900 * time.Millisecond
	// wideLink is the link, in Mbit/s, from which on a machine is a good holder:
	// some hundred instances take the news of as many servers from it, several
	// MB/s.
	wideLink = 100
	// overlaysKept bounds the orders that are told.
	overlaysKept = 2048
	// gone bounds the removals that are remembered for instances that were away.
	goneKept = 2048
)

// Report is what an instance tells the coordinator.
type Report struct {
	Instance string `msgpack:"i"`
	// Address is where other instances reach it, Members the digest of the
	// addresses that it was last told.
	Address string                     `msgpack:"p"`
	Link    float64                    `msgpack:"k"`
	Members uint64                     `msgpack:"m"`
	Wants   []balancer.Want            `msgpack:"w"`
	Flights map[string]balancer.Flight `msgpack:"f"`
	// Registry is where the instance would read on in the registry, Config
	// the version it has in force, Overlay the last order it was told of by
	// the coordinator with the fence.
	Registry int64                 `msgpack:"r"`
	Config   int64                 `msgpack:"c"`
	Overlay  int                   `msgpack:"o"`
	Fence    int64                 `msgpack:"e"`
	Suspects []quarantiner.Suspect `msgpack:"s"`
	// Down are the lives of servers that take no connection.
	Down []string `msgpack:"d"`
	// Waiting is set while requests wait for an order.
	Waiting bool `msgpack:"a"`
	// Deputy asks an instance that does not hold the lease to stand in.
	Deputy bool `msgpack:"u"`
}

// Reply is what the coordinator tells an instance.
type Reply struct {
	// Holds is false if the instance asked does not hold the lease.
	Holds     bool  `msgpack:"l"`
	Fence     int64 `msgpack:"e"`
	Instances int   `msgpack:"n"`
	// Members are the addresses of all instances in the order of deputies, empty
	// if the report's digest stands.
	Members []string                   `msgpack:"m"`
	Flights map[string]balancer.Flight `msgpack:"f"`
	// Registry are the newest records since the report's offset, Next where
	// to read on; RegistryFresh and ConfigFresh say that the coordinator reads
	// the store at its usual pace.
	Registry      []tailer.Record       `msgpack:"r"`
	Next          int64                 `msgpack:"x"`
	RegistryFresh bool                  `msgpack:"rf"`
	ConfigFresh   bool                  `msgpack:"cf"`
	Config        []tailer.Record       `msgpack:"c"`
	ConfigNext    int64                 `msgpack:"cx"`
	Overlays      []balancer.Overlay    `msgpack:"o"`
	Overlay       int                   `msgpack:"ov"`
	Suspects      []quarantiner.Suspect `msgpack:"s"`
	// Holder is whom a deputy takes for the holder, LeaseFresh says that it
	// reads the lease at its usual pace and claims it when it lapses.
	Holder     string `msgpack:"h"`
	LeaseFresh bool   `msgpack:"hf"`
}
