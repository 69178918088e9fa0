// Package assumer decides which settings hold where the settings file names none.
package assumer

import (
	"fmt"
	"time"

	"primrosehook/platform"
)

// The assumptions err toward what is allowed under any platform: a server that leaves gets no
// requests early, a planned stop is short, lease holders take turns late, few requests are
// repeated, and weights are loaded no faster than their store allows.
const (
	drain          = time.Second
	grace          = 5 * time.Second
	lease          = 5 * time.Second
	retryRatio     = 0.1
	retryWindow    = 10 * time.Second
	ceilingWindow  = 5 * time.Second
	ceilingOverage = 1.0
)

// Complete returns settings whose missing fields are set, and what was assumed, as
// "Field=value".
func Complete(s platform.Settings) (platform.Settings, []string) {
	var assumed []string
	for _, name := range s.Missing {
		var value any
		switch name {
		case "Drain":
			s.Drain, value = drain, drain
		case "Grace":
			s.Grace, value = grace, grace
		case "Lease":
			s.Lease, value = lease, lease
		case "RetryRatio":
			s.RetryRatio, value = retryRatio, retryRatio
		case "RetryWindow":
			s.RetryWindow, value = retryWindow, retryWindow
		case "CeilingWindow":
			s.CeilingWindow, value = ceilingWindow, ceilingWindow
		case "CeilingOverage":
			s.CeilingOverage, value = ceilingOverage, ceilingOverage
		default:
			continue
		}
		assumed = append(assumed, fmt.Sprintf("%s=%v", name, value))
	}
	return s, assumed
}

// Read reads a settings file, checks it and completes it. After an error the settings have what
// could be read.
func Read(path string) (s platform.Settings, assumed []string, err error) {
	s, err = platform.ReadSettings(path)
	if err != nil {
		return s, nil, err
	}
	s, assumed = Complete(s)
	return s, assumed, nil
}
