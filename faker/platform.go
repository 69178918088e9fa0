package faker

import (
	"net/http"
	"strings"
)

// Platform serves the log, the instance list and the weight store on one
// address.
type Platform struct {
	Log   *Log
	List  *List
	Store *Store
}

// Handler returns the HTTP APIs of the parts that are not nil.
func (p Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	if p.Log != nil {
		h := p.Log.Handler()
		mux.Handle("/streams/", h)
		mux.Handle("/stats/log", h)
		mux.Handle("/faults/log", h)
	}
	if p.List != nil {
		h := p.List.Handler()
		mux.Handle("/instances", h)
		mux.Handle("/instances/", h)
		mux.Handle("/faults/list", h)
	}
	if p.Store != nil {
		h := p.Store.Handler()
		mux.Handle("/state", h)
		mux.Handle("/loads", h)
		mux.Handle("/faults/store", h)
	}
	return mux
}

// Only returns a platform with only the parts of a comma-separated list. The
// parts are "log", "list" and "store"; unknown names are ignored.
func (p Platform) Only(parts string) Platform {
	var out Platform
	for _, part := range strings.Split(parts, ",") {
		switch strings.TrimSpace(part) {
		case "log":
			out.Log = p.Log
		case "list":
			out.List = p.List
		case "store":
			out.Store = p.Store
		}
	}
	return out
}
