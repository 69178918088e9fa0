package launcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// Timeouts of waits for a process.
const (
	// pipeTimeout is how long to wait for the output of a process that has ended.
	pipeTimeout = 5 * time.Second
	// freezeTimeout is how long to wait until the threads of a process stop.
	freezeTimeout = 5 * time.Second
)

// Process is a started process.
type Process struct {
	// Addr is the address "IP:port" on which it serves.
	Addr string
	// OperatorAddr and PeerAddr are an entry instance's addresses for operators and for
	// peers; they are empty for other processes.
	OperatorAddr string
	PeerAddr     string

	name string
	cmd  *exec.Cmd
	// done is closed when the process has ended; err is set before that.
	done chan struct{}
	err  error
}

func startProcess(addr, path string, env, args []string, output io.Writer) (*Process, error) {
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout = output
	cmd.Stderr = output
	cmd.WaitDelay = pipeTimeout
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "program cannot be started")
	}
	p := &Process{
		Addr: addr,
		name: filepath.Base(path) + " " + strings.Join(args[:min(len(args), 1)], " "),
		cmd:  cmd,
		done: make(chan struct{}),
	}
	go p.runWait()
	return p, nil
}

// Launch starts a program that serves on an address, and does not wait until it does. A file as output
// is passed to the program itself. The caller ends the process.
func Launch(addr, path string, env []string, output io.Writer, args ...string) (*Process, error) {
	return startProcess(addr, path, env, args, output)
}

func (p *Process) runWait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// URL returns the address as a URL.
func (p *Process) URL() string { return "http://" + p.Addr }

// Member returns the URL of the n-th stand-in of a process with -count.
func (p *Process) Member(n int) string {
	host, text, err := net.SplitHostPort(p.Addr)
	port, bad := strconv.Atoi(text)
	if err != nil || bad != nil {
		return p.URL()
	}
	return "http://" + net.JoinHostPort(host, strconv.Itoa(port+n))
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill kills the process (SIGKILL), suspended or not, and waits until it has ended.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Suspend suspends the process (SIGSTOP). It waits until each thread has stopped,
// because threads still run for some time after the signal.
func (p *Process) Suspend() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	clock := clockwork.NewRealClock()
	for range int(freezeTimeout / pollEvery) {
		if p.isStopped() {
			return nil
		}
		clock.Sleep(pollEvery)
	}
	return eris.Errorf("%s was not stopped in time", p.name)
}

// isStopped reports whether all threads have the state T (stopped) in
// /proc/PID/task/TID/stat, whose form is "TID (name) STATE ...".
func (p *Process) isStopped() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return false
		}
		_, rest, ok := strings.Cut(string(text), ") ")
		if !ok || !strings.HasPrefix(rest, "T") {
			return false
		}
	}
	return true
}

// Resume resumes a suspended process (SIGCONT).
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to drain and stop (SIGTERM).
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Wait waits until the process has ended and returns its exit status, which is
// -1 if a signal ended it.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, eris.Wrapf(ctx.Err(), "%s has not ended", p.name)
	}
}

// Reload asks the process to read its settings again (SIGHUP).
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// Ending describes how the process ended, such as "exit status 2". It is empty while it runs.
func (p *Process) Ending() string {
	select {
	case <-p.done:
		return p.cmd.ProcessState.String()
	default:
		return ""
	}
}

func (p *Process) signal(s os.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return eris.Wrapf(err, "%s cannot be signaled", p.name)
}
