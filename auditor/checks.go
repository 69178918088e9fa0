package auditor

import (
	"fmt"
	"slices"
	"time"
)

// Broken is one case in which a promise was not kept.
type Broken struct {
	At time.Time
	// Request is the ID of the attempt that shows it, empty if no request does.
	Request string
	Text    string
	// Log are log lines of the process.
	Log []string
}

// Check is a promise and how it is checked.
type Check struct {
	Name string
	// Promise says in one sentence what is promised.
	Promise string
	// Run returns how often the promise was put to the test, and where it was not kept.
	Run func(*Record) (int, []Broken)
}

// Result is the result of a check.
type Result struct {
	Name, Promise string
	Times         int
	Broken        []Broken
}

// Checks returns all checks.
func Checks() []Check {
	return []Check{
		{"processes", "No process ends by itself, and a planned stop ends with code 0 within the grace period.", checkProcesses},
		{"readiness", "An undisturbed instance is ready within the bound after the store and a configuration are there.", checkReadiness},
		{"recovery", "Within the bound after the last fault, all requests are served again.", checkRecovery},
		{"answers", "Each answer that is complete is the server's whole answer to this request.", checkAnswers},
		{"refusals", "A request that may run once and was refused has not run.", checkRefusals},
		{"once", "A request that may run once runs at most once.", checkOnce},
		{"stops", "A planned stop or a reload ends no request that was read without an answer.", checkStops},
		{"configuration", "A changed configuration is in force within its bound.", checkConfiguration},
		{"limits", "Each process stays within its limits of memory and descriptors.", checkLimits},
		{"weights", "No server is ordered to load more than fits.", checkWeights},
		{"races", "No process reports a data race.", checkRaces},
	}
}

// Audit runs checks on a record.
func Audit(r *Record, checks []Check) []Result {
	var list []Result
	for _, c := range checks {
		times, broken := c.Run(r)
		list = append(list, Result{Name: c.Name, Promise: c.Promise, Times: times, Broken: broken})
	}
	return list
}

// Held reports whether all promises were kept.
func Held(results []Result) bool {
	return !slices.ContainsFunc(results, func(r Result) bool { return len(r.Broken) > 0 })
}

func checkProcesses(r *Record) (int, []Broken) {
	var broken []Broken
	for _, p := range r.Processes {
		if p.End.IsZero() {
			continue
		}
		text := ""
		switch {
		case p.Overdue:
			text = "still ran at the end of the grace period"
		case p.Signal == "":
			text = "ended by itself after " + p.End.Sub(p.Start).Round(time.Millisecond).String()
		case p.Signal == "SIGTERM" && p.Status != 0:
			text = "failed in a planned stop"
		default:
			continue
		}
		broken = append(broken, Broken{At: p.End, Text: fmt.Sprintf("instance %d, process %d %s: %s", p.Instance, p.PID, text, p.Ending), Log: p.Tail})
	}
	return len(r.Processes), broken
}

// checkReadiness takes the end of each fault of the store, and the first configuration, as a moment
// from which on the instances that run must become ready.
func checkReadiness(r *Record) (int, []Broken) {
	if len(r.Configs) == 0 {
		return 0, nil
	}
	first := r.Configs[0].At
	moments := []time.Time{first}
	for _, f := range r.Faults {
		if f.Store && !f.Planned && f.End.After(first) {
			moments = append(moments, f.End)
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	times := 0
	var broken []Broken
	byInstance := map[int][]Sample{}
	for _, s := range r.Samples {
		byInstance[s.Instance] = append(byInstance[s.Instance], s)
	}
	for _, p := range r.Processes {
		for _, moment := range moments {
			// A process that is started later has the whole bound from its start on.
			if p.Start.After(moment) {
				if moment != moments[len(moments)-1] {
					continue
				}
				moment = p.Start
			}
			due := moment.Add(r.Bounds.Ready)
			ready := slices.ContainsFunc(byInstance[p.Instance], func(s Sample) bool {
				return s.Ready && s.At.After(moment) && !s.At.After(due) && (p.End.IsZero() || s.At.Before(p.End))
			})
			disturbs := func(f *Fault) bool { return !f.End.Equal(moment) && (f.Store && !f.Planned || f.on(p.Instance)) }
			switch {
			case ready:
				times++
			case r.End.After(due) && (p.End.IsZero() || p.End.After(due)) && r.calm(moment.Add(time.Millisecond), due, disturbs):
				times++
				broken = append(broken, Broken{At: due, Text: fmt.Sprintf("instance %d, process %d was never ready from %s to %s", p.Instance, p.PID, r.since(moment), r.since(due))})
			}
		}
	}
	return times, broken
}

func checkRecovery(r *Record) (int, []Broken) {
	from := r.Begin
	for _, f := range r.Faults {
		if f.End.After(from) {
			from = f.End
		}
		if f.End.IsZero() {
			return 0, nil
		}
	}
	from = from.Add(r.Bounds.Recovery)
	times := 0
	var broken []Broken
	for _, q := range r.Requests {
		if q.Version > 0 || len(q.Attempts) == 0 || q.Attempts[0].Sent.Before(from) {
			continue
		}
		times++
		if !q.Served {
			last := q.Attempts[len(q.Attempts)-1]
			broken = append(broken, Broken{At: last.Done, Request: last.ID, Text: fmt.Sprintf("%s not served after %d attempts, the last at instance %d: status %d %s", q.Kind, len(q.Attempts), last.Instance, last.Status, last.Reason)})
		}
	}
	return times, broken
}

// eachAttempt calls a function for each attempt, and returns how often it returned true and the
// cases that it returned.
func (r *Record) eachAttempt(judge func(Request, Attempt) (bool, string)) (int, []Broken) {
	times := 0
	var broken []Broken
	for _, q := range r.Requests {
		for _, a := range q.Attempts {
			tested, text := judge(q, a)
			if tested {
				times++
			}
			if text != "" {
				broken = append(broken, Broken{At: a.Done, Request: a.ID, Text: fmt.Sprintf("%s at instance %d: %s", q.Kind, a.Instance, text)})
			}
		}
	}
	return times, broken
}

func checkAnswers(r *Record) (int, []Broken) {
	return r.eachAttempt(func(_ Request, a Attempt) (bool, string) { return a.Complete || a.Wrong != "", a.Wrong })
}

// refused reports whether a status promises that a request has not run.
func refused(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

func checkRefusals(r *Record) (int, []Broken) {
	return r.eachAttempt(func(q Request, a Attempt) (bool, string) {
		if !q.Once || !refused(a.Status) {
			return false, ""
		}
		if runs := r.Runs[a.ID]; len(runs) > 0 {
			return true, fmt.Sprintf("refused with %d, and ran on %s at %s", a.Status, runs[0].Server, r.since(runs[0].At))
		}
		return true, ""
	})
}

func checkOnce(r *Record) (int, []Broken) {
	return r.eachAttempt(func(q Request, a Attempt) (bool, string) {
		runs := r.Runs[a.ID]
		if !q.Once || len(runs) < 2 {
			return q.Once && len(runs) == 1, ""
		}
		return true, fmt.Sprintf("ran %d times, on %s at %s and on %s at %s", len(runs), runs[0].Server, r.since(runs[0].At), runs[1].Server, r.since(runs[1].At))
	})
}

// checkStops leaves out what an unplanned fault may have caused, except one of the store.
func checkStops(r *Record) (int, []Broken) {
	return r.eachAttempt(func(_ Request, a Attempt) (bool, string) {
		i := slices.IndexFunc(r.Faults, func(f *Fault) bool {
			if !f.Planned || !f.on(a.Instance) || a.Done.Before(f.Begin) {
				return false
			}
			if f.Kind == KindReload {
				return !a.Sent.After(f.Begin.Add(r.Bounds.Config))
			}
			return !a.Sent.After(f.Begin.Add(r.Bounds.Grace + time.Second))
		})
		unplanned := func(f *Fault) bool { return !f.Planned && !f.Store }
		if i < 0 || a.Sent.IsZero() || !r.calm(a.Sent.Add(-r.Bounds.Contact), a.Done, unplanned) {
			return false, ""
		}
		passed, held := len(r.Runs[a.ID]) > 0, a.Done.Sub(a.Sent)
		if !a.Cut || !passed && held <= r.Bounds.Slack {
			return a.Complete, ""
		}
		return true, fmt.Sprintf("cut after %v, run by a server: %t, during %s: %s", held.Round(time.Millisecond), passed, r.Faults[i].Kind, a.Reason)
	})
}

func checkConfiguration(r *Record) (int, []Broken) {
	return r.eachAttempt(func(q Request, a Attempt) (bool, string) {
		i := slices.IndexFunc(r.Configs, func(c Config) bool { return c.Version == q.Version })
		if q.Version == 0 || i < 0 || !a.Complete {
			return false, ""
		}
		since := a.Sent.Sub(r.Configs[i].At)
		disturbs := func(f *Fault) bool { return !f.Planned && f.Store || f.Kind != KindChange && f.on(a.Instance) }
		from := a.Sent.Add(-r.Bounds.Contact)
		if since < r.Bounds.Config || !r.calm(from, a.Sent, disturbs) || !r.ran(a.Instance, from, a.Done) {
			return false, ""
		}
		if a.Status == 404 {
			return true, fmt.Sprintf("the route of version %d is unknown %v after its acknowledgement", q.Version, since.Round(time.Millisecond))
		}
		return true, ""
	})
}

func checkLimits(r *Record) (int, []Broken) {
	times := 0
	var broken []Broken
	for _, p := range r.Processes {
		if p.PeakMB == 0 {
			continue
		}
		times++
		over := p.PeakMB > r.Bounds.MemoryMB && !r.Bounds.RaceDetector
		if over || p.PeakDescriptors > r.Bounds.Descriptors {
			broken = append(broken, Broken{At: p.End, Text: fmt.Sprintf("instance %d, process %d had %d MB and %d descriptors", p.Instance, p.PID, p.PeakMB, p.PeakDescriptors)})
		}
	}
	return times, broken
}

func checkWeights(r *Record) (int, []Broken) {
	times := 0
	var broken []Broken
	for _, s := range r.Servers {
		times += s.Loads
		if s.Overcommitted {
			broken = append(broken, Broken{At: r.End, Text: "server " + s.ID + " accepted a load that did not fit"})
		}
	}
	return times, broken
}

func checkRaces(r *Record) (int, []Broken) {
	if !r.Bounds.RaceDetector {
		return 0, nil
	}
	var broken []Broken
	for _, p := range r.Processes {
		if p.Races > 0 {
			broken = append(broken, Broken{At: p.End, Text: fmt.Sprintf("instance %d, process %d reported %d data races", p.Instance, p.PID, p.Races), Log: p.Tail})
		}
	}
	return len(r.Processes), broken
}

// since returns a time as seconds since the begin of the soak.
func (r *Record) since(at time.Time) string { return fmt.Sprintf("%.3f", at.Sub(r.Begin).Seconds()) }
