package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// unservedLine is a log line on a model or adapter that was not served, or was for the first time.
type unservedLine struct {
	At       float64 `json:"ts"`
	Message  string  `json:"msg"`
	Instance string  `json:"instance"`
	Service  string  `json:"service"`
	Key      string  `json:"key"`
	Asked    int     `json:"asked"`
	Absent   int     `json:"absent"`
	Full     int     `json:"full"`
	For      float64 `json:"for"`
	Why      string  `json:"why"`
}

// unservedKey is what the lines say of a model or adapter.
type unservedKey struct {
	served      bool
	first, last float64
	// newest are the lines of each instance that the counts are taken from, reasons how often each
	// reason was given.
	newest  map[string]unservedLine
	reasons map[string]int
}

// printUnserved prints the models and adapters that were requested and never served.
func (e *explain) printUnserved() error {
	in := io.Reader(os.Stdin)
	if e.log != "-" {
		f, err := os.Open(e.log)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	keys, err := readUnserved(in)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVICE\tKEY\tREQUESTED\tABSENT\tFULL\tSECONDS\tWHY NOT LOADED")
	never := 0
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		k := keys[name]
		if k.served {
			continue
		}
		never++
		var sum unservedLine
		for _, l := range k.newest {
			sum.Asked, sum.Absent, sum.Full = sum.Asked+l.Asked, sum.Absent+l.Absent, sum.Full+l.Full
		}
		service, key, _ := strings.Cut(name, " ")
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.1f\t%s\n", service, key, sum.Asked, sum.Absent, sum.Full, k.last-k.first, reasonList(k.reasons))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.out, "%d never served, of %d that were not served for two seconds or more\n", never, len(keys))
	return nil
}

// readUnserved returns what the lines say of each service and key that was not served for a time.
func readUnserved(in io.Reader) (map[string]*unservedKey, error) {
	keys, served := map[string]*unservedKey{}, map[string]bool{}
	err := scanLines(in, func(text string) {
		var l unservedLine
		if !strings.Contains(text, `"demand: `) || json.Unmarshal([]byte(text), &l) != nil {
			return
		}
		name := l.Service + " " + l.Key
		if l.Message == "demand: first served" {
			served[name] = true
			return
		}
		k, ok := keys[name]
		if !ok {
			k = &unservedKey{first: l.At - l.For, newest: map[string]unservedLine{}, reasons: map[string]int{}}
			keys[name] = k
		}
		k.first, k.last = min(k.first, l.At-l.For), max(k.last, l.At)
		k.newest[l.Instance] = l
		if l.Why != "" {
			k.reasons[l.Why]++
		}
	})
	for name, k := range keys {
		k.served = served[name]
	}
	return keys, err
}

// reasonList returns reasons with how often each was given, the most frequent first.
func reasonList(reasons map[string]int) string {
	list := slices.SortedFunc(maps.Keys(reasons), func(a, b string) int {
		if reasons[a] != reasons[b] {
			return reasons[b] - reasons[a]
		}
		return strings.Compare(a, b)
	})
	for i, r := range list {
		list[i] = fmt.Sprintf("%s (%d)", r, reasons[r])
	}
	return strings.Join(list, ", ")
}
