package configurer

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// table returns all settings in the order of the help text, bound to the fields of s.
func table(s *Settings) []Setting {
	return slices.Concat(addresses(s), shared(s), limits(s), shutdown(s), observability(s))
}

func addresses(s *Settings) []Setting {
	return []Setting{
		nameSetting("name", "", "name of this life of the instance", &s.Name, true),
		nameSetting("region", "local", "region of the instance", &s.Region, false),
		nameSetting("zone", "a", "availability zone of the instance", &s.Zone, false),
		addressSetting("listen", "127.0.0.1:8080", "address for callers", &s.Listen),
		addressSetting("operate", "127.0.0.1:8081", "address for operators", &s.Operate),
		addressSetting("peer", "127.0.0.1:8082", "address for other instances", &s.Peer),
		urlSetting("list", "http://127.0.0.1:7000", "URL of the instance list", &s.List, false),
		urlSetting("log", "http://127.0.0.1:7000", "URL of the log service", &s.Log, false),
		urlSetting("store", "http://127.0.0.1:7000", "URL of the weight store", &s.Store, false),
	}
}

func shared(s *Settings) []Setting {
	return []Setting{
		intSetting("write-shards", "4", "shards of idempotency keys; the same on all instances", &s.WriteShards, 1, 1024),
		intSetting("job-shards", "4", "shards of deferred jobs; the same on all instances", &s.JobShards, 1, 1024),
		durationSetting("lease", "6s", "time that the holder of a pool may act without the log", &s.Lease, 500*time.Millisecond, 10*time.Minute),
		durationSetting("delay", "10s", "longest that a message to an engine may be under way", &s.MaxMessageDelay, 100*time.Millisecond, 10*time.Minute),
		durationSetting("absence", "1m", "absence from the instance list after which an instance's orders have ended", &s.AbsenceTimeout, 100*time.Millisecond, time.Hour),
		durationSetting("group", "20ms", "wait of an append for others to share its record", &s.GroupWait, 0, time.Second),
	}
}

func limits(s *Settings) []Setting {
	return []Setting{
		intSetting("body", "1048576", "largest request body in bytes", &s.MaxBodyBytes, 1<<10, 64<<20),
		intSetting("memory", "0", "memory of the process in MB; 0 for its own limits", &s.MemoryMB, 0, 1<<24),
		intSetting("descriptors", "0", "open files of the process; 0 for its own limit", &s.Descriptors, 0, 1<<24),
		intSetting("open", "8192", "requests that may be open at once", &s.MaxOpenRequests, 1, 1<<20),
		intSetting("tokens", "32768", "most tokens of an answer", &s.MaxTokens, 1, 1<<20),
		intSetting("default-tokens", "1024", "most tokens for a request that names no number", &s.DefaultMaxTokens, 1, 1<<20),
		durationSetting("upload", "10s", "time in which a body must arrive", &s.BodyTimeout, 100*time.Millisecond, 10*time.Minute),
		durationSetting("stall", "5s", "silence of an engine after which its stream counts as cut", &s.StallTimeout, 100*time.Millisecond, 10*time.Minute),
		durationSetting("call", "10s", "time of one try at a plain service", &s.ServiceTimeout, 10*time.Millisecond, 10*time.Minute),
		durationSetting("send", "30s", "time of one write to a slow caller", &s.WriteTimeout, 100*time.Millisecond, 10*time.Minute),
		intSetting("tries", "4", "engines or servers that one request may be tried on", &s.MaxAttempts, 1, 16),
		fractionSetting("retry-share", "0.1", "retries for each fresh request", &s.RetryBudgetRatio),
		durationSetting("hold", "10m", "quarantine of a request that was alone at two crashes", &s.QuarantineTerm, time.Second, 24*time.Hour),
	}
}

func shutdown(s *Settings) []Setting {
	return []Setting{
		durationSetting("linger", "3s", "time that a leaving instance goes on taking requests", &s.Linger, 0, 5*time.Minute),
		durationSetting("drain", "2m", "longest wait for requests in flight at a planned stop", &s.Drain, 0, time.Hour),
	}
}

func observability(s *Settings) []Setting {
	return []Setting{
		choiceSetting("log-level", "info", "least level of log lines", &s.LogLevel, "debug", "info", "warn", "error"),
		choiceSetting("log-format", "console", "form of log lines", &s.LogFormat, "console", "json"),
		choiceSetting("trace", "none", "where spans go", &s.Trace, "none", "stdout", "otlp"),
		urlSetting("trace-url", "", "URL of the OTLP/HTTP collector", &s.TraceURL, true),
		fractionSetting("trace-share", "1", "share of requests that start a trace of their own", &s.TraceSampleRatio),
		intSetting("recent", "1024", "decisions remembered for explain", &s.DecisionsKept, 0, 1<<16),
	}
}

// setting returns a setting whose set function parses and stores a text and reports
// whether it is valid.
func setting(name, standard, usage, allowed string, set func(string) bool) Setting {
	return Setting{Name: name, Default: standard, Usage: usage, Allowed: allowed, value: &flagValue{set: set}}
}

const maxNameBytes = 128

func nameSetting(name, standard, usage string, into *string, empty bool) Setting {
	allowed := fmt.Sprintf("1 to %d letters, digits and . _ -", maxNameBytes)
	if empty {
		allowed += ", or empty"
	}
	return setting(name, standard, usage, allowed, func(text string) bool {
		*into = text
		odd := strings.ContainsFunc(text, func(c rune) bool {
			return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune("._-", c)
		})
		return !odd && len(text) <= maxNameBytes && (empty || text != "")
	})
}

func addressSetting(name, standard, usage string, into *string) Setting {
	return setting(name, standard, usage, "IP:port with a port from 1 to 65535", func(text string) bool {
		*into = text
		a, err := netip.ParseAddrPort(text)
		return err == nil && a.Port() > 0
	})
}

func urlSetting(name, standard, usage string, into *string, empty bool) Setting {
	allowed := "an http or https URL with an IP number or host"
	if empty {
		allowed += ", or empty"
	}
	return setting(name, standard, usage, allowed, func(text string) bool {
		*into = strings.TrimSuffix(text, "/")
		u, err := url.Parse(text)
		return empty && text == "" || err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	})
}

func intSetting(name, standard, usage string, into *int, least, most int) Setting {
	return setting(name, standard, usage, fmt.Sprintf("a whole number from %d to %d", least, most), func(text string) bool {
		n, err := strconv.Atoi(text)
		*into = n
		return err == nil && n >= least && n <= most
	})
}

func durationSetting(name, standard, usage string, into *time.Duration, least, most time.Duration) Setting {
	return setting(name, standard, usage, fmt.Sprintf("a duration from %v to %v", least, most), func(text string) bool {
		d, err := time.ParseDuration(text)
		*into = d
		return err == nil && d >= least && d <= most
	})
}

func fractionSetting(name, standard, usage string, into *float64) Setting {
	return setting(name, standard, usage, "a number from 0 to 1", func(text string) bool {
		n, err := strconv.ParseFloat(text, 64)
		*into = n
		return err == nil && n >= 0 && n <= 1
	})
}

func choiceSetting(name, standard, usage string, into *string, options ...string) Setting {
	return setting(name, standard, usage, "one of "+strings.Join(options, ", "), func(text string) bool {
		*into = text
		return slices.Contains(options, text)
	})
}
