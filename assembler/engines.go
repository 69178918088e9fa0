package assembler

import (
	"net/url"
	"sync"

	"github.com/rotisserie/eris"

	"primrosehook/dispatcher"
	"primrosehook/driver"
	"primrosehook/lister"
)

// engines is the newest picture of the engines of this region, which the
// reader pulls from the holders of the pools.
type engines struct {
	dispatch *dispatcher.LockedCore
	listed   func(kind string) []lister.Instance

	mu    sync.Mutex
	known []dispatcher.Engine
}

// show takes a picture and gives it to the dispatcher.
func (e *engines) show(all []dispatcher.Engine) {
	e.mu.Lock()
	e.known = all
	e.mu.Unlock()
	e.dispatch.UpdateEngines(all)
}

func (e *engines) look() []dispatcher.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// check returns why requests would find no engine, or nil. A region without
// engines is no reason: its plain services are served.
func (e *engines) check() error {
	if len(e.listed(lister.KindEngine)) > 0 && len(e.look()) == 0 {
		return eris.New("no engine has reported yet")
	}
	return nil
}

// Demand implements server.Demand.
func (e *engines) Demand(model string) (float64, int) { return e.dispatch.Rate(model) }

// orders explains an order that this instance gave or knows as open.
// The id holds a slash, so it comes escaped.
func (i *Instance) orders(id string) (any, bool) {
	plain, err := url.PathUnescape(id)
	if err != nil {
		return nil, false
	}
	return i.manager.Explain(plain)
}

// residency is one engine as operators see it.
type residency struct {
	Engine    string                 `json:"engine"`
	Zone      string                 `json:"zone"`
	State     string                 `json:"state"`
	Used      int64                  `json:"used_mb"`
	Total     int64                  `json:"total_mb"`
	Running   int                    `json:"running"`
	Waiting   int                    `json:"waiting"`
	Residents []driver.LoadedWeights `json:"residents"`
}

func (e *engines) residency() []residency {
	all := []residency{}
	for _, one := range e.look() {
		all = append(all, residency{
			Engine: one.Name, Zone: one.Zone, State: one.State,
			Used: one.Report.UsedMB, Total: one.Report.TotalMB,
			Running: one.Report.Running, Waiting: one.Report.Waiting, Residents: one.Report.Loaded,
		})
	}
	return all
}
