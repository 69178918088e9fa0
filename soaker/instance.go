package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"primrosehook/auditor"
	"primrosehook/launcher"
	"primrosehook/platform"
)

const (
	// restartDelay is how long an instance stays away whose process ended by itself.
	restartDelay = time.Second
	// tailLines is how many of the last log lines are kept, endWait how long they are waited for.
	// Longer lines are cut in the record.
	tailLines, lineLength, endWait = 6, 240, 300 * time.Millisecond
	// pipeSize is small, so that a process soon waits for a reader that has stopped.
	pipeSize = 4096
)

// instance is an instance through all its processes.
type instance struct {
	world *world
	index int
	// busy is held by the fault that acts on the instance.
	busy sync.Mutex

	mu      sync.Mutex
	process *launcher.Process
	entry   *auditor.Process
	log     *collector
	starts  int
	// ready and misses are the answers to readiness checks: the last one, and the misses in a row.
	ready  bool
	misses int
}

// start starts a process unless one runs.
func (i *instance) start(ctx context.Context) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil && i.process.Ending() == "" || ctx.Err() != nil {
		return nil
	}
	path := filepath.Join(i.world.dir, fmt.Sprintf("front-%d.toml", i.index))
	if err := os.WriteFile(path, []byte(i.world.settings(i.index, i.starts == 0)), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	log, write, err := i.world.newCollector(i.index)
	if err != nil {
		return err
	}
	at := i.world.clock.Now()
	address := i.world.address(1 + i.index)
	p, err := launcher.Launch(fmt.Sprintf("%s:%d", address, portFront), i.world.options.Program,
		[]string{platform.SettingsVariable + "=" + path}, write, "entry", "-metrics", fmt.Sprint(portMetrics))
	_ = write.Close() // the process has its own
	if err != nil {
		_ = log.read.Close()
		return err
	}
	i.starts++
	i.process, i.log = p, log
	i.entry = &auditor.Process{Instance: i.index, PID: p.PID(), Start: at}
	entry := i.entry
	i.world.record.Change(func() { i.world.record.Processes = append(i.world.record.Processes, entry) })
	go log.loop()
	i.world.watchers.Go(func() { i.runWatch(ctx, p, entry, log) })
	return nil
}

// runWatch records the end of a process, and starts another one if nobody ended it.
func (i *instance) runWatch(ctx context.Context, p *launcher.Process, entry *auditor.Process, log *collector) {
	<-p.Done()
	at := i.world.clock.Now()
	select {
	case <-log.done:
	case <-i.world.clock.After(endWait):
	}
	status, err := p.Wait(context.WithoutCancel(ctx))
	if err != nil {
		i.world.log.Error("soak: no exit code", zap.Int("instance", i.index), zap.Error(err))
	}
	tail, races := log.last()
	alone := false
	i.world.record.Change(func() {
		alone = entry.Signal == ""
		if alone && ctx.Err() != nil {
			entry.Signal = "interrupt"
		}
		entry.End, entry.Status, entry.Ending, entry.Tail, entry.Races = at, status, p.Ending(), tail, races
	})
	if !alone || ctx.Err() != nil {
		return
	}
	i.world.log.Error("soak: process ended by itself", zap.Int("instance", i.index), zap.Int("pid", p.PID()), zap.String("ending", p.Ending()))
	i.world.sleep(ctx, restartDelay)
	if err := i.start(ctx); err != nil {
		i.world.log.Error("soak: instance not started", zap.Int("instance", i.index), zap.Error(err))
	}
}

// current returns the process, its entry in the record and the reader of its log.
func (i *instance) current() (*launcher.Process, *auditor.Process, *collector) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process, i.entry, i.log
}

// kill ends the process at once.
func (i *instance) kill() error {
	p, entry, _ := i.current()
	if p == nil || p.Ending() != "" {
		return nil
	}
	i.world.record.Change(func() { entry.Signal = "SIGKILL" })
	return p.Kill()
}

// terminate ends the process by a planned stop, and kills it at the end of the grace period.
func (i *instance) terminate() error {
	p, entry, _ := i.current()
	if p == nil || p.Ending() != "" {
		return nil
	}
	i.world.record.Change(func() { entry.Signal = "SIGTERM" })
	if err := p.Terminate(); err != nil {
		return err
	}
	select {
	case <-p.Done():
		return nil
	case <-i.world.clock.After(i.world.record.Bounds.Grace):
	}
	i.world.record.Change(func() { entry.Overdue = true })
	return p.Kill()
}

// collector reads the output of a process.
type collector struct {
	read *os.File
	out  io.WriteCloser
	// gate is held while the reader does not read.
	gate sync.Mutex
	done chan struct{}

	mu    sync.Mutex
	tail  []string
	races int
	// fatal is set once the runtime has begun to report why it ends the process.
	fatal bool
}

// newCollector returns a reader, and the end of its pipe that the process writes to.
func (w *world) newCollector(index int) (*collector, *os.File, error) {
	read, write, err := os.Pipe()
	if err != nil {
		return nil, nil, eris.Wrap(err, "pipe")
	}
	if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, pipeSize); err != nil {
		return nil, nil, eris.Wrap(err, "size of the pipe")
	}
	out, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("front-%d.log", index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, eris.Wrap(err, "log file")
	}
	return &collector{read: read, out: out, done: make(chan struct{})}, write, nil
}

// loop reads until the output or its reader ends.
func (c *collector) loop() {
	defer close(c.done)
	defer func() { _ = c.out.Close() }()
	lines := bufio.NewReader(c.read)
	for {
		c.gate.Lock()
		c.gate.Unlock() //nolint:staticcheck // waits while a fault holds it
		line, err := lines.ReadString('\n')
		if line != "" {
			c.add(line)
		}
		if err != nil {
			_ = c.read.Close() // may be closed by a fault
			return
		}
	}
}

func (c *collector) add(line string) {
	_, _ = io.WriteString(c.out, line) // the tail has it, too
	c.mu.Lock()
	defer c.mu.Unlock()
	if strings.Contains(line, "WARNING: DATA RACE") {
		c.races++
	}
	if !c.fatal && (strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:")) {
		c.tail, c.fatal = nil, true
	}
	if c.fatal && len(c.tail) == tailLines {
		return
	}
	line = strings.TrimSuffix(line, "\n")
	c.tail = append(c.tail, line[:min(len(line), lineLength)])
	if len(c.tail) > tailLines {
		c.tail = c.tail[1:]
	}
}

func (c *collector) last() ([]string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tail, c.races
}
