package reserver

const (
	// budgetShare is the part of the process's memory that is held for clients and servers.
	// With collectorShare it leaves as much again for the garbage of the collector, and the
	// rest for the program itself (19 MiB of an idle instance with 64 MB).
	budgetShare = 0.35
	// collectorShare is the part of the process's memory that is the garbage collector's soft
	// limit.
	collectorShare = 0.7
	// smallestMemory is assumed if no memory is named: that of the smallest instances.
	smallestMemory = 144 << 20
	// reservedDescriptors are the open files that can't be used for sockets.
	reservedDescriptors = 250
	// minConnections is the least limit of clients' connections and of requests in flight.
	minConnections = 100
	// descriptorsPerRequest allows for the client's connection, the server's and an idle one.
	descriptorsPerRequest = 3
	// descriptorsPerPeer and minPeerConnections limit connections of peers: twice as many as
	// detours may be served. peerQueueShare is the part of the memory that may be queued for one
	// peer, or be in work for it.
	descriptorsPerPeer, minPeerConnections = 4, 128
	peerQueueShare                         = 16
	// descriptorsPerDetour and minDetours limit the detours that are served for peers to a quarter
	// of the descriptors, each with the peer's connection and the server's.
	descriptorsPerDetour, minDetours = 8, 32
)

// Machine is what a process may use. The limits that follow from it are those of each process.
type Machine struct {
	// Memory is in bytes, 0 if it is not known.
	Memory      int64
	Descriptors int
}

func (m Machine) memory() int64 {
	if m.Memory <= 0 {
		return smallestMemory
	}
	return m.Memory
}

// Budget returns the size of the memory budget in bytes.
func (m Machine) Budget() int64 { return int64(budgetShare * float64(m.memory())) }

// CollectorLimit returns the garbage collector's soft limit in bytes.
func (m Machine) CollectorLimit() int64 { return int64(collectorShare * float64(m.memory())) }

// MaxPeerQueue returns how many bytes may be queued for one peer, or be in work for it.
func (m Machine) MaxPeerQueue() int { return int(m.memory() / peerQueueShare) }

// MaxConnections returns how many connections of clients may be open. The other half of the
// descriptors is for servers and peers.
func (m Machine) MaxConnections() int {
	return max((m.Descriptors-reservedDescriptors)/2, minConnections)
}

// MaxPeerConnections returns how many connections of peers may be open, detours among them.
func (m Machine) MaxPeerConnections() int {
	return max((m.Descriptors-reservedDescriptors)/descriptorsPerPeer, minPeerConnections)
}

// MaxInFlight returns how many requests may be in flight.
func (m Machine) MaxInFlight() int {
	return max((m.Descriptors-reservedDescriptors)/descriptorsPerRequest, minConnections)
}

// MaxDetours returns how many detours may be served for peers.
func (m Machine) MaxDetours() int {
	return max((m.Descriptors-reservedDescriptors)/descriptorsPerDetour, minDetours)
}
