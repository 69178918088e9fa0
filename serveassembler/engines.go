package serveassembler

import (
	"net/url"
	"sync"

	"github.com/rotisserie/eris"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/lister"
)

// engineView is the last known state of the engines of this region, which the
// reader pulls from the lease holders of the pools.
type engineView struct {
	dispatch *dispatcher.LockedCore
	listed   func(kind string) []lister.Instance

	mu    sync.Mutex
	known []dispatcher.Engine
}

// update replaces the known state and passes it to the dispatcher.
func (e *engineView) update(all []dispatcher.Engine) {
	e.mu.Lock()
	e.known = all
	e.mu.Unlock()
	e.dispatch.UpdateEngines(all)
}

// current returns the last known state of the engines.
func (e *engineView) current() []dispatcher.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// check returns an error if engines are listed but none has reported. A region
// without engines passes, since it serves its plain services.
func (e *engineView) check() error {
	if len(e.listed(lister.KindEngine)) > 0 && len(e.current()) == 0 {
		return eris.New("no engine has reported yet")
	}
	return nil
}

// Demand implements server.Demand.
func (e *engineView) Demand(model string) (float64, int) { return e.dispatch.Rate(model) }

// explainOrder explains an order that this instance sent or knows as open. The ID
// contains a slash, so it is path-escaped.
func (i *Instance) explainOrder(id string) (any, bool) {
	plain, err := url.PathUnescape(id)
	if err != nil {
		return nil, false
	}
	return i.manager.Explain(plain)
}

// engineStatus is an engine in the status that operators read.
type engineStatus struct {
	Engine    string                 `json:"engine"`
	Zone      string                 `json:"zone"`
	State     string                 `json:"state"`
	UsedMB    int64                  `json:"used_mb"`
	TotalMB   int64                  `json:"total_mb"`
	Running   int                    `json:"running"`
	Waiting   int                    `json:"waiting"`
	Residents []driver.LoadedWeights `json:"residents"`
}

func (e *engineView) statuses() []engineStatus {
	all := []engineStatus{}
	for _, one := range e.current() {
		all = append(all, engineStatus{
			Engine: one.Name, Zone: one.Zone, State: one.State,
			UsedMB: one.Report.UsedMB, TotalMB: one.Report.TotalMB,
			Running: one.Report.Running, Waiting: one.Report.Waiting, Residents: one.Report.Loaded,
		})
	}
	return all
}
