package balancer

// Offer is Await without the wait: granted gets the assignment, or nil once the request is refused. It is
// nil unless the request waits.
func (f *Fleet) Offer(service string, q Request) (a *Assignment, granted <-chan *Assignment, status Status) {
	a, w, status := f.takeOrEnqueue(service, q)
	if w == nil {
		return a, nil, status
	}
	return nil, w.granted, status
}
