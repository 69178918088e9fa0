package inspector

import "fmt"

func (x *inspection) inspectAccounts() {
	for _, r := range x.Rejections {
		x.add(Error, "tenants, "+r.Entry, "left out: "+r.Reason, "correct the entry")
	}
	for _, a := range x.Accounts {
		at := func(field string) string { return place("tenants", a.Index, a.Name, field) }
		if len(a.Keys) == 0 {
			x.add(Warning, at("api-keys"), "the account has no key: no request can use it", "add a key or remove the account")
		}
		if a.RatePerSecond == 0 {
			if a.Burst > 0 {
				x.add(Warning, at("burst"), "without rate-per-s there is no cap, so burst has no effect", "set rate-per-s or remove burst")
			}
			continue
		}
		usage := a.Usage(0)
		if a.Tokens && a.PlainTokens == 0 {
			x.add(Warning, at("plain-tokens"), "requests that state no number of tokens are not counted", "set plain-tokens")
		}
		if a.Tokens {
			usage = max(usage, x.largest)
		}
		switch {
		case a.Burst == 0:
			x.add(Error, at("burst"), "with a rate but no burst every request is refused", "set burst to at least the largest request")
		case a.Burst < usage:
			x.add(Warning, at("burst"), fmt.Sprintf("a cap of %v/s with a burst of %v is below one request of %v: such requests are admitted only when nothing else has been used",
				a.RatePerSecond, a.Burst, usage), "raise burst to at least the largest request")
		}
	}
}

func (x *inspection) inspectLimits() {
	l := x.Limits
	x.requireTime("limits, header-timeout-ms", l.HeaderTimeout)
	x.requireTime("limits, idle-timeout-ms", l.IdleTimeout)
	if l.MaxHeaderBytes < 0 {
		x.add(Error, "limits, max-header-bytes", "the size is negative", "use a positive size")
	}
	switch {
	case l.MaxBodyBytes < 0:
		x.add(Error, "limits, max-body-bytes", "the size is negative and sets no limit", "use a positive size")
	case l.MaxBodyBytes == 0:
		x.add(Warning, "limits, max-body-bytes", "0 sets no limit: one body can take all memory of an instance", "set the size of the largest body that clients send")
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		x.add(Warning, "limits, idle-timeout-ms", fmt.Sprintf("%s is below header-timeout-ms of %s: an idle connection closes before a slow header would",
			l.IdleTimeout, l.HeaderTimeout), "raise idle-timeout-ms or lower header-timeout-ms")
	}
}
