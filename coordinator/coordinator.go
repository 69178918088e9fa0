// Package coordinator elects one instance, by a lease, that keeps the cluster
// state and sends orders to servers.
//
// The lease holder is the coordinator. Every instance reports its in-flight
// work and its demand to it, and receives its peers' in-flight counts, the
// records of the registry and the configuration, and the overlays of recent
// orders. While there is no coordinator, instances continue with the state they
// last received and read the registry themselves; only orders have to wait.
package coordinator

import (
	"time"

	"primrosehook/allotter"
	"primrosehook/balancer"
	"primrosehook/quarantiner"
	"primrosehook/tailer"
	"primrosehook/throttler"
	"primrosehook/upgrader"
)

const (
	// kindExchange is the kind of the message that carries a Report to a peer.
	kindExchange = "exchange"
	// minReportInterval is the pause between two reports of an instance, or
	// reportIntervalPerInstance times the number of instances if that is
	// longer, so that the coordinator's work does not grow faster than the
	// number of instances.
	minReportInterval         = 150 * time.Millisecond
	reportIntervalPerInstance = 4 * time.Millisecond
	// minReplyTTL is how long a reply replaces reads of the store, or if that is longer until
	// the next report must have been answered, with a margin of replyMargin.
	minReplyTTL = 700 * time.Millisecond
	replyMargin = 200 * time.Millisecond
	// startDelay is how long an instance that starts with a narrow link waits for a peer to
	// feed it before it reads the store. Those with wide links read it at once: one of them
	// is to hold the lease.
	startDelay = time.Second
	// minRetryLimit and retryLimitPerInstance determine the longest pause
	// after failed calls to the store: all instances together call an
	// unavailable store some 40 times a second.
	minRetryLimit         = 700 * time.Millisecond
	retryLimitPerInstance = 25 * time.Millisecond
	// memberTTL is how long an instance counts after its last report.
	memberTTL = 3 * time.Second
	// exchangeTimeout is how long the receiver of a report may be silent. While its reply
	// arrives, it is waited for up to maxExchangeTime.
	exchangeTimeout = 500 * time.Millisecond
	maxExchangeTime = 2 * time.Second
	// maxConfigTime is the longest time that sending a configuration may take of
	// exchangeTimeout; the rest is left for other traffic on the link.
	maxConfigTime = exchangeTimeout / 2
	// bytesPerSecondPerMbps converts Mbit/s to bytes per second.
	bytesPerSecondPerMbps = 1e6 / 8
	// unavailableTTL is how long a report that a server is unavailable counts.
	unavailableTTL = time.Second
	// instancesWindow is how long an instance counts that is not reported any more:
	// shares of what all instances may do together must not grow too early.
	instancesWindow = 10 * time.Second
	// suspectsResend is for how long a change of a suspect is sent with each report
	// and reply: some exchanges, so that all instances get it.
	suspectsResend = 5 * time.Second
	// overlayWait is the longest delay of the reply to an instance whose
	// requests wait for an order; the reply is sent once there is an overlay.
	overlayWait = 150 * time.Millisecond
	// wideLinkMbps is the link speed, in Mbit/s, from which a machine is suited
	// to be the coordinator: about a hundred instances fetch updates on as many
	// servers from it, several MB/s.
	wideLinkMbps = 100
	// maxOverlays bounds the overlays that are kept for instances to fetch.
	maxOverlays = 2048
	// maxRemovals bounds the removal records that are kept for instances that
	// were unreachable.
	maxRemovals = 2048
)

// Report is what an instance sends to the coordinator, or to a deputy.
type Report struct {
	Instance string `msgpack:"i"`
	// Address is where peers reach the instance, Link the speed of its link in
	// Mbit/s (zero if unknown), Members the digest of the member addresses that
	// it last received. InFlight is its own in-flight work by server ID.
	Address  string                       `msgpack:"p"`
	Link     float64                      `msgpack:"k"`
	Members  uint64                       `msgpack:"m"`
	Demand   []balancer.Demand            `msgpack:"w"`
	InFlight map[string]balancer.InFlight `msgpack:"f"`
	// Registry is the offset from which the instance would read the registry,
	// Config the version it has in force, Overlay how many overlays it has
	// received from the coordinator with the fencing token Fence.
	Registry int64                 `msgpack:"r"`
	Config   int64                 `msgpack:"c"`
	Overlay  int                   `msgpack:"o"`
	Fence    int64                 `msgpack:"e"`
	Suspects []quarantiner.Suspect `msgpack:"s"`
	// Parts is what the instance knows of parts of prompts that crash servers.
	Parts quarantiner.PartReport `msgpack:"pt"`
	// Limits are the rate limits that servers name.
	Limits []throttler.Statement `msgpack:"q"`
	// Unavailable are the incarnations of servers that accept no connection or leave.
	Unavailable []string `msgpack:"d"`
	// Waiting is set while requests wait for an order.
	Waiting bool `msgpack:"a"`
	// Queues are the requests that wait at the instance for a busy server.
	Queues []balancer.Queue `msgpack:"wq,omitempty"`
	// Paces is what streams told of the speed of servers, by server ID.
	Paces map[string]balancer.Pace `msgpack:"pc,omitempty"`
	// Starts are the servers that have started again of late, as the instance knows them: InFlight
	// and Paces are of these starts.
	Starts balancer.Starts `msgpack:"st,omitempty"`
	// Build is the build that the instance runs.
	Build upgrader.Build `msgpack:"bd"`
	// Accounts is what the instance may use of the caps of client accounts, nil while the
	// configuration has none.
	Accounts *allotter.Statement `msgpack:"ac,omitempty"`
	// Deputy asks an instance that does not hold the lease to act as deputy.
	Deputy bool `msgpack:"u"`
}

// Reply answers a Report.
type Reply struct {
	// HoldsLease is false if the instance that replies does not hold the lease.
	// Fence is the fencing token of the lease, Instances the number of instances
	// that report.
	HoldsLease bool  `msgpack:"l"`
	Fence      int64 `msgpack:"e"`
	Instances  int   `msgpack:"n"`
	// Members are the addresses of all instances in the order of deputies,
	// empty if the report's digest is current. InFlight are the peers' in-flight
	// counts by server ID.
	Members  []string                     `msgpack:"m"`
	InFlight map[string]balancer.InFlight `msgpack:"f"`
	// Registry are the newest records from the report's offset on, Next is
	// where to read on. RegistryFresh and ConfigFresh are set if the sender
	// reads the store at its usual pace. Overlays are those after the report's
	// Overlay, and Overlay is how many there were in the coordinator's term.
	Registry      []tailer.Record `msgpack:"r"`
	Next          int64           `msgpack:"x"`
	RegistryFresh bool            `msgpack:"rf"`
	// RegistryWhole is set if Registry has the newest record of each key and replaces all that the
	// instance has: the sender's removals do not reach back to the report's offset.
	RegistryWhole bool `msgpack:"rw,omitempty"`
	// RegistryAge is the time since the read of the registry began whose records the
	// sender has, zero if it does not say.
	RegistryAge time.Duration `msgpack:"ra"`
	ConfigFresh bool          `msgpack:"cf"`
	// Config is the newest configuration if it is newer than that of the report, ConfigNext where to
	// read on after it. A sender of an earlier build that has none sends an empty record and
	// position 1.
	Config     []tailer.Record `msgpack:"c"`
	ConfigNext int64           `msgpack:"cx"`
	// ConfigInStore is set if the newest configuration is too large for a reply
	// and is to be read from the store.
	ConfigInStore bool                  `msgpack:"cs"`
	Overlays      []balancer.Overlay    `msgpack:"o"`
	Overlay       int                   `msgpack:"ov"`
	Suspects      []quarantiner.Suspect `msgpack:"s"`
	Parts         quarantiner.PartReply `msgpack:"pt"`
	Limits        []throttler.Statement `msgpack:"q"`
	// Queues are the requests that wait at the peers for a busy server.
	Queues []balancer.Queue `msgpack:"wq,omitempty"`
	// Speeds are those of the servers that are not as fast as usual, in per cent by server ID.
	// SpeedsKnown is set by builds that add up paces.
	Speeds      map[string]int `msgpack:"sp,omitempty"`
	SpeedsKnown bool           `msgpack:"sk,omitempty"`
	// Starts are the servers that have started again of late, as the sender knows them: InFlight and
	// Speeds are of these starts.
	Starts balancer.Starts `msgpack:"st,omitempty"`
	// Builds is how many instances run each build.
	Builds map[string]int `msgpack:"bs,omitempty"`
	// Entitlement is what the instance may use of the caps of client accounts, nil if the report
	// states nothing of them. A deputy's is zero.
	Entitlement *allotter.Entitlement `msgpack:"en,omitempty"`
	// Holder is the lease holder as a deputy last read it. LeaseFresh is set if
	// the deputy reads the lease at its usual pace and claims it when it
	// expires.
	Holder     string `msgpack:"h"`
	LeaseFresh bool   `msgpack:"hf"`
}
