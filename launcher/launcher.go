// Package launcher starts the programs of this repository as real processes on
// loopback, for tests and measurements. It can also interrupt and delay the
// connections between them, and call them as clients and operators do.
//
// Example:
//
//	programs, err := launcher.Build(ctx, dir)
//	c := launcher.New(programs, os.Stderr)
//	defer c.Stop()
//	platform, err := c.Platform(ctx)
//	engine, err := c.Engine(ctx, "-model", "tiny")
//	entry, err := c.Entry(ctx)
//	err = engine.Kill()
package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// Poll interval and timeout of a start, and the size limit of an answer in
// bytes.
const (
	pollEvery    = 10 * time.Millisecond
	readyTimeout = 30 * time.Second
	maxAnswer    = 64 << 20
)

// Range of the ports of a cluster.
const (
	firstPort   = 10_000
	lastPort    = 32_000
	maxAttempts = 1000
	// maxMembers is the largest supported -count of a stand-in.
	maxMembers = 64
)

// Programs are the paths of the built programs.
type Programs struct {
	Primrosehook string
	Standin      string
}

// Build builds the programs into a directory. It takes seconds, so call it once
// per test suite. Flags such as "-race" are passed to "go build".
func Build(ctx context.Context, dir string, flags ...string) (Programs, error) {
	args := append([]string{"build", "-o", dir + "/"}, flags...)
	args = append(args, "primrosehook/cmd/primrosehook", "primrosehook/cmd/standin")
	out, err := exec.CommandContext(ctx, "go", args...).CombinedOutput()
	if err != nil {
		return Programs{}, eris.Wrapf(err, "go build failed: %s", out)
	}
	return Programs{
		Primrosehook: filepath.Join(dir, "primrosehook"),
		Standin:      filepath.Join(dir, "standin"),
	}, nil
}

// Host returns a loopback address that is derived from the process ID, so that
// test suites running in parallel do not take each other's ports.
// Example: process 70000 has 127.2.17.112.
func Host() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+pid>>16), byte(pid>>8), byte(pid)).String()
}

// FreeAddr returns an address "IP:port" of Host on which nothing listens at the
// moment.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(Host(), "0"))
	if err != nil {
		return "", eris.Wrap(err, "no port is free")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Cluster is a set of processes that share one platform.
type Cluster struct {
	programs Programs
	output   io.Writer
	clock    clockwork.Clock

	mu        sync.Mutex
	processes []*Process
	// platform is the URL passed to engines, services and entry instances.
	platform string
	// port is the next one to assign. The ports are below the system's ephemeral
	// range, so that they stay free until the process has started.
	port int
}

// New returns a cluster without processes. The processes' output goes to the
// writer.
func New(programs Programs, output io.Writer) *Cluster {
	return &Cluster{
		programs: programs,
		output:   &lockedWriter{w: output},
		clock:    clockwork.NewRealClock(),
		port:     firstPort,
	}
}

// reserveAddr returns an address whose port is the first of count reserved
// ports.
func (c *Cluster) reserveAddr(count int) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range maxAttempts {
		if c.port+count > lastPort {
			c.port = firstPort
		}
		addr := net.JoinHostPort(Host(), strconv.Itoa(c.port))
		c.port += count
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, l.Close()
		}
	}
	return "", eris.New("no port is free")
}

// Platform starts the log, the instance list and the weight store on one
// address, and sets the platform's URL. flags are those of "standin platform".
func (c *Cluster) Platform(ctx context.Context, flags ...string) (*Process, error) {
	p, err := c.standin(ctx, "platform", flags)
	if err != nil {
		return nil, err
	}
	c.SetPlatform(p.URL())
	return p, nil
}

// SetPlatform sets the platform's URL for processes started later, for example
// to the URL of a FaultProxy in front of the platform.
func (c *Cluster) SetPlatform(url string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.platform = url
}

// PlatformURL returns the platform's URL that is passed to processes.
func (c *Cluster) PlatformURL() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.platform
}

// Engine starts one engine. flags are those of "standin engine"; without a
// -model the engine has no model loaded.
func (c *Cluster) Engine(ctx context.Context, flags ...string) (*Process, error) {
	url := c.PlatformURL()
	return c.standin(ctx, "engine", append([]string{"-list", url, "-store", url, "-model", ""}, flags...))
}

// Service starts one plain service. flags are those of "standin service".
func (c *Cluster) Service(ctx context.Context, flags ...string) (*Process, error) {
	return c.standin(ctx, "service", append([]string{"-list", c.PlatformURL()}, flags...))
}

func (c *Cluster) standin(ctx context.Context, kind string, flags []string) (*Process, error) {
	addr, err := c.reserveAddr(maxMembers)
	if err != nil {
		return nil, err
	}
	args := append([]string{kind, "-listen", addr}, flags...)
	return c.Start(ctx, addr, c.programs.Standin, nil, args...)
}

// Entry starts one entry instance on free ports. flags are those of
// "primrosehook serve". Process.Addr is the address for clients.
func (c *Cluster) Entry(ctx context.Context, flags ...string) (*Process, error) {
	var addrs [3]string
	for i := range addrs {
		addr, err := c.reserveAddr(1)
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	url := c.PlatformURL()
	env := []string{
		"PRIMROSEHOOK_OPERATE=" + addrs[1],
		"PRIMROSEHOOK_PEER=" + addrs[2],
		"PRIMROSEHOOK_LOG=" + url,
		"PRIMROSEHOOK_STORE=" + url,
	}
	args := append([]string{"serve", "-listen", addrs[0], "-list", url}, flags...)
	p, err := c.Start(ctx, addrs[0], c.programs.Primrosehook, env, args...)
	if err != nil {
		return nil, err
	}
	p.OperatorAddr = addrs[1]
	p.PeerAddr = addrs[2]
	return p, nil
}

// Start starts a program and waits until its address accepts connections.
func (c *Cluster) Start(ctx context.Context, addr, path string, env []string, args ...string) (*Process, error) {
	p, err := startProcess(addr, path, env, args, c.output)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	if err := c.awaitReady(ctx, p); err != nil {
		_ = p.Kill()
		return nil, err
	}
	return p, nil
}

func (c *Cluster) awaitReady(ctx context.Context, p *Process) error {
	limit, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		conn, err := net.DialTimeout("tcp", p.Addr, time.Second)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-p.done:
			return eris.Errorf("%s ended before it was ready: %v", p.name, p.err)
		case <-limit.Done():
			return eris.Errorf("%s was not ready in time", p.name)
		case <-c.clock.After(pollEvery):
		}
	}
}

// Stop kills all processes that are still running.
func (c *Cluster) Stop() {
	c.mu.Lock()
	all := c.processes
	c.processes = nil
	c.mu.Unlock()
	for _, p := range all {
		_ = p.Kill()
	}
}

// Put sends a JSON body with PUT, for example to set a stand-in's faults.
func Put(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "body cannot be encoded")
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "URL is malformed")
	}
	return send(q, nil)
}

// Get sends a GET and decodes the JSON answer, for example the runs of a
// stand-in.
func Get(ctx context.Context, url string, out any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return eris.Wrap(err, "URL is malformed")
	}
	return send(q, out)
}

func send(q *http.Request, out any) error {
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return eris.Wrapf(err, "%s %s", q.Method, q.URL)
	}
	defer func() { _ = p.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(p.Body, maxAnswer))
	if err != nil {
		return eris.Wrapf(err, "%s %s", q.Method, q.URL)
	}
	if p.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("%s %s: status %d: %s", q.Method, q.URL, p.StatusCode, body)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(body, out), "answer is malformed")
}

// lockedWriter is a writer that several processes share.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
