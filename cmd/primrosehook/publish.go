package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/google/subcommands"

	"primrosehook/ruler"
	"primrosehook/server"
)

// publish is the subcommand that puts a rule list in force.
type publish struct {
	out, errs io.Writer
	admin     adminClient
	base      int64
	show      bool
}

func (*publish) Name() string     { return "publish" }
func (*publish) Synopsis() string { return "put a rule list in force in place of its base" }
func (*publish) Usage() string {
	return `primrosehook publish [-admin IP:PORT] -base VERSION FILE
primrosehook publish [-admin IP:PORT] -show

Publishes a rule list that replaces the one of version -base, 0 for the first
list. When another operator was faster, the list is not published and the
version in force is named: look at what changed, and publish again on top of
it. To roll back, publish the older file with the present version as base.
With -show, prints the version and the list in force.

`
}

func (p *publish) SetFlags(f *flag.FlagSet) {
	p.admin.register(f)
	f.Int64Var(&p.base, "base", -1, "version of the list to replace")
	f.BoolVar(&p.show, "show", false, "print the list in force")
}

func (p *publish) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if p.show {
		return p.print(ctx)
	}
	if f.NArg() != 1 || p.base < 0 {
		_, _ = fmt.Fprintln(p.errs, "publish needs -base VERSION and one FILE; publish -show prints the version in force")
		return subcommands.ExitUsageError
	}
	source, err := os.ReadFile(f.Arg(0))
	if err == nil {
		_, err = ruler.Parse(f.Arg(0), source)
	}
	if err != nil {
		_, _ = fmt.Fprintln(p.errs, err)
		return subcommands.ExitFailure
	}
	return p.send(ctx, f.Arg(0), source)
}

func (p *publish) send(ctx context.Context, file string, source []byte) subcommands.ExitStatus {
	path := fmt.Sprintf("/admin/rules?base=%d&file=%s", p.base, url.QueryEscape(file))
	data, _, err := p.admin.do(ctx, http.MethodPost, path, bytes.NewReader(source))
	var r *statusError
	if errors.As(err, &r) && r.status == http.StatusConflict {
		_, _ = fmt.Fprintf(p.errs, "conflict: %s; nothing was published\n", r.text)
		return subcommands.ExitFailure
	}
	if err != nil {
		_, _ = fmt.Fprintln(p.errs, err)
		return subcommands.ExitFailure
	}
	var answer server.PublishResult
	if err := json.Unmarshal(data, &answer); err != nil {
		_, _ = fmt.Fprintln(p.errs, "answer is malformed:", err)
		return subcommands.ExitFailure
	}
	for _, w := range answer.Warnings {
		_, _ = fmt.Fprintln(p.errs, "warning:", w)
	}
	_, _ = fmt.Fprintf(p.out, "version %d is published in place of %d\n", answer.Version, p.base)
	return subcommands.ExitSuccess
}

func (p *publish) print(ctx context.Context) subcommands.ExitStatus {
	data, h, err := p.admin.do(ctx, http.MethodGet, "/admin/rules", http.NoBody)
	if err != nil {
		_, _ = fmt.Fprintln(p.errs, err)
		return subcommands.ExitFailure
	}
	_, _ = fmt.Fprintf(p.errs, "version %s is in force\n", h.Get(server.VersionHeader))
	_, _ = p.out.Write(data)
	return subcommands.ExitSuccess
}
