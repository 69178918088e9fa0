package inspector

import (
	"fmt"
	"math"
	"slices"

	"primrosehook/platform"
)

func (x *inspection) inspectServices() {
	names := map[string]int{}
	for i, s := range x.Services {
		if first, ok := names[s.Name]; ok {
			x.add(Error, place("services", i, s.Name, "name"), fmt.Sprintf("services[%d] has the same name and is left out", first),
				"give each service a name of its own")
		} else {
			names[s.Name] = i
		}
		if !slices.ContainsFunc(x.Routes, func(r platform.RouteEntry) bool { return r.LeadsTo(s.Name) }) {
			x.add(Warning, place("services", i, s.Name, ""), "no route leads to it", "add a route, or remove the service")
		}
		if s.Engine != nil {
			x.inspectEngine(s, func(field string) string { return place("services", i, s.Name, field) })
		}
	}
}

// inspectEngine checks the models of a service against the memory of one server.
func (x *inspection) inspectEngine(s platform.ServiceEntry, at func(string) string) {
	memory := s.Engine.MemoryMB
	names := map[string]int{}
	total, adapters, fit := 0.0, 0, true
	for j, m := range s.Models {
		model := func(field string) string { return at(place("models", j, m.Name, field)) }
		if first, ok := names[m.Name]; ok {
			x.add(Error, model("name"), fmt.Sprintf("models[%d] has the same name and is left out", first), "give each model a name of its own")
		} else {
			names[m.Name] = j
			total += m.SizeMB
		}
		x.requireTime(model("load-s"), m.ColdLoadTime)
		x.requireTime(model("warm-s"), m.HostLoadTime)
		x.requireTime(model("disk-s"), m.DiskLoadTime)
		adapters += max(m.Adapters, 0)
		switch {
		case m.SizeMB > memory:
			fit = false
			x.add(Error, model("weights-mb"), fmt.Sprintf("the model needs %v MB, a server has %v MB: it can't be loaded", m.SizeMB, memory),
				"raise the engine's weights-mb if the servers have more, or remove the model")
		case m.Adapters > 0 && m.SizeMB+m.AdapterSizeMB > memory:
			x.add(Error, model("adapter-mb"), fmt.Sprintf("the model with one adapter needs %v MB, a server has %v MB: no adapter can be loaded",
				m.SizeMB+m.AdapterSizeMB, memory), "raise the engine's weights-mb if the servers have more, or remove the adapters")
		}
	}
	if len(s.Models) == 0 {
		x.add(Warning, at("models"), "the engine has no models", "add its models, or remove the engine")
	} else if adapters == 0 && s.Engine.AdapterSlots > 0 {
		x.add(Note, at("adapter-slots"), "none of its models has adapters", "set adapters of a model, or remove adapter-slots")
	}
	if adapters > 0 && s.Engine.AdapterSlots <= 0 {
		x.add(Error, at("adapter-slots"), fmt.Sprintf("there are no slots for the %d adapters of its models", adapters), "set adapter-slots or remove the adapters")
	}
	if fit && total > memory {
		x.add(Note, at("weights-mb"), fmt.Sprintf("the models need %v MB together, a server has %v MB: at least %.0f servers are needed to have all of them loaded; how many there are is not known here",
			total, memory, math.Ceil(total/memory)), "compare with the number of servers")
	}
}
