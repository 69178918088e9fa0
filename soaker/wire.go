package soaker

import (
	"fmt"
	"strings"
	"time"

	"primrosehook/auditor"
)

// Headers of requests and answers.
const (
	headerID        = "Primrosehook-Request-Id"
	headerDeadline  = "Primrosehook-Request-Deadline"
	headerModel     = "Primrosehook-Model"
	headerTokens    = "Primrosehook-Token-Usage"
	headerPrefix    = "Primrosehook-Prompt-Prefix"
	headerSignature = "Primrosehook-Server-Signature"
	headerLast      = "Last-Event-Id"
)

// Ports of each instance, on an address of its own.
const (
	portFront, portReady, portControl, portMetrics = 8149, 8141, 8144, 9464
	portServer                                     = 8170
)

const (
	host          = "rooms.example"
	serviceModels = "assist"
	servicePlain  = "rooms"
	// heartbeat is how often servers register themselves, expiry how long an entry stays without that.
	heartbeat, expiry = 1200 * time.Millisecond, 3 * heartbeat
	// events and eventGap are the length of a stream and the pause between its events.
	events, eventGap = 10, 30 * time.Millisecond
	workTime         = 30 * time.Millisecond
	// build is the version of the servers' software. A stream goes on at servers of the same one only.
	build = "b1"
	// roomForModels is how many models fit a server, of the sizes in the configuration.
	roomForModels = 3
	loadTime      = 1200 * time.Millisecond
	// checkTimeout is how long readiness checks and new connections may take.
	checkTimeout = time.Second
)

// deploymentBounds are those of the settings.
func deploymentBounds() auditor.Bounds {
	return auditor.Bounds{
		Contact: 3 * time.Second, Ready: (3 + 2 + 5) * time.Second, Config: 2 * time.Second, Recovery: 12 * time.Second,
		Grace: 8 * time.Second, Slack: 200 * time.Millisecond, MemoryMB: 284, Descriptors: 4100,
	}
}

const settingsText = `node = "front-%d"
ip = %q
zone = %q
internal-ports = [7380, 7395]
seeds = [%s]
bootstrap = %t
heartbeat-ms = 1200
[listen-addrs]
front = "%[2]s:%[6]d"
ready = "%[2]s:%[7]d"
control = "%[2]s:%[8]d"
[limits]
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
[bounds]
reuse-after-s = 2
contact-ms = 3000
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-ms = 2000
outer-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 52
recovery-s = 12
lease-ms = 3000
ceiling-window-s = 5
ceiling-overage = 1.1
[platform]
address = %[9]q
form = "log"
`

// settings returns the settings file of an instance.
func (w *world) settings(index int, first bool) string {
	var seeds []string
	for i := range min(3, len(w.instances)) {
		seeds = append(seeds, fmt.Sprintf(`"%s:%d"`, w.address(1+i), portControl))
	}
	return fmt.Sprintf(settingsText, index, w.address(1+index), zone(index), strings.Join(seeds, ", "), first, portFront, portReady, portControl, w.store.address)
}

func zone(n int) string { return []string{"za", "zb", "zc"}[n%3] }

// configuration returns a version of the configuration, which has a route of its own.
func configuration(version, models int) []byte {
	var list []string
	for m := range models {
		list = append(list, fmt.Sprintf(`{"name":%q,"weights-mb":72,"load-s":%g}`, modelName(m), loadTime.Seconds()))
	}
	route := func(name, kind, service string, timeout int, more string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path-prefix":"/%s/","kind":%q,"service":%q,"timeout-ms":%d,"target-latency-ms":600,"max-attempts":2%s}`, name, host, name, kind, service, timeout, more)
	}
	routes := []string{
		route("chat", "streaming", serviceModels, 12000, `,"resumable":true,"gap-aim-ms":300`),
		route("book", "non_idempotent", servicePlain, 3000, ""),
		route("lookup", "idempotent", servicePlain, 3000, ""),
		route(probeRoute(version), "idempotent", servicePlain, 3000, ""),
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q,"engine":{"slots":64,"kv-capacity":128339,"weights-mb":230,"adapter-slots":8,"loads-per-s":1.1,"models":[%s]}},{"name":%q}],
"limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout-ms":5000,"idle-timeout-ms":20000}}`,
		version, strings.Join(routes, ","), serviceModels, strings.Join(list, ","), servicePlain)
}

func modelName(m int) string { return fmt.Sprint("m", m) }

// probeRoute returns the route that only one version has.
func probeRoute(version int) string { return fmt.Sprint("v", version) }

// kind is a kind of traffic.
type kind struct {
	name   string
	budget time.Duration
	// once is set if an attempt may run once at most, stream if the answer is a resumable stream.
	once, stream bool
	// share is its share of the requests.
	share float64
}

var traffic = []kind{
	{name: "chat", budget: 12 * time.Second, stream: true, share: 0.65},
	{name: "book", budget: 3 * time.Second, once: true, share: 0.22},
	{name: "lookup", budget: 3 * time.Second, share: 0.13},
}
