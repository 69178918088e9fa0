package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// closeEvery is one of how many answers has Connection: close.
const closeEvery = 10

// farm is a service of many plain servers in one process. Some of them go down and up by turns,
// and their queues of new channels are full at times.
type farm struct {
	store, service string
	servers        []*plainServer
	ran            atomic.Int64
}

// plainServer is one server of a farm.
type plainServer struct {
	farm    *farm
	id      string
	address string

	mu       sync.Mutex
	born     int64
	sequence int
	server   *http.Server
	// gate is held while no connections are accepted.
	gate sync.Mutex
}

func runFarm(args []string) int {
	flags := flag.NewFlagSet("farm", flag.ExitOnError)
	f := &farm{}
	network := flags.String("network", "", "first three numbers of the addresses")
	flags.StringVar(&f.store, "store", "", "address of the store")
	flags.StringVar(&f.service, "service", "", "service")
	dir := flags.String("dir", "", "folder of the count of runs")
	count := flags.Int("count", 0, "number of servers")
	share := flags.Float64("flap-share", 0, "share of the servers that go down and up by turns")
	gap := flags.Duration("flap-gap", 0, "time between two turns")
	length := flags.Duration("flap-for", 0, "for how long the same servers do")
	crashShare := flags.Float64("crash-share", 0, "share of the servers that crash")
	crashFor := flags.Duration("crash-for", 0, "for how long they are down, and the time between two crashes")
	full := flags.Duration("full", 0, "for how long a queue is full")
	every := flags.Duration("full-every", 0, "how often a queue is full")
	after := flags.Duration("after", 0, "when the trouble begins")
	_ = flags.Parse(args)
	for i := range *count {
		s := &plainServer{farm: f, id: fmt.Sprintf("p-%d", i+1), address: fmt.Sprintf("%s.%d:%d", *network, 101+i, serverPort)}
		if err := s.up(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		f.servers = append(f.servers, s)
		go s.loopHeartbeat()
	}
	time.Sleep(*after)
	for _, s := range f.servers {
		if *full > 0 {
			go s.loopFull(*full, *every)
		}
	}
	if *crashShare > 0 {
		go f.loopFlap(*crashShare, *crashFor, 2**crashFor)
	}
	if *share > 0 {
		go f.loopFlap(*share, *gap, *length)
	}
	for range time.Tick(500 * time.Millisecond) {
		_ = os.WriteFile(filepath.Join(*dir, "farm.runs"), strconv.AppendInt(nil, f.ran.Load(), 10), 0o644)
	}
	return exitNotRun
}

func (f *farm) loopFlap(share float64, gap, length time.Duration) {
	for {
		f.flap(share, gap, length)
	}
}

// flap takes a share of the servers down and up by turns, each for a gap, for some time.
func (f *farm) flap(share float64, gap, length time.Duration) {
	var chosen []*plainServer
	for _, i := range rand.Perm(len(f.servers))[:int(share*float64(len(f.servers)))] {
		chosen = append(chosen, f.servers[i])
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		for _, s := range chosen {
			s.down()
		}
		time.Sleep(gap)
		for _, s := range chosen {
			if err := s.up(); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}
		time.Sleep(gap)
	}
}

// listenShort listens with the shortest queue of new connections.
func listenShort(address string) (net.Listener, error) {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), address)
	defer func() { _ = file.Close() }()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// gatedListener accepts no connections while the gate is held.
type gatedListener struct {
	net.Listener
	gate *sync.Mutex
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.gate.Lock()
	defer l.gate.Unlock()
	return c, err
}

func (s *plainServer) up() error {
	s.mu.Lock()
	running := s.server != nil
	s.mu.Unlock()
	if running {
		return nil
	}
	l, err := listenShort(s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.born, s.sequence = time.Now().UnixMilli(), 0
	s.server = &http.Server{Handler: s}
	server := s.server
	s.mu.Unlock()
	go func() { _ = server.Serve(gatedListener{l, &s.gate}) }()
	s.register()
	return nil
}

func (s *plainServer) down() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// loopFull keeps the queue of new connections full for some time, again and again.
func (s *plainServer) loopFull(length, every time.Duration) {
	time.Sleep(time.Duration(rand.Int64N(int64(every))))
	for ; ; time.Sleep(every - length) {
		s.gate.Lock()
		var list []net.Conn
		for range 3 {
			if c, err := net.DialTimeout("tcp", s.address, 5*time.Millisecond); err == nil {
				list = append(list, c)
			}
		}
		time.Sleep(length)
		s.gate.Unlock()
		for _, c := range list {
			_ = c.Close()
		}
	}
}

func (s *plainServer) loopHeartbeat() {
	time.Sleep(time.Duration(rand.Int64N(int64(heartbeat))))
	for ; ; time.Sleep(heartbeat) {
		s.register()
	}
}

var registrations = &http.Client{Timeout: time.Second}

// register writes the registration, unless the server is down.
func (s *plainServer) register() {
	s.mu.Lock()
	if s.server == nil {
		s.mu.Unlock()
		return
	}
	s.sequence++
	raw, _ := json.Marshal(map[string]any{
		"service": s.farm.service, "address": s.address, "zone": "z1", "version": "v1", "slots": 6, "state": "ready", "cold-ms": 0, "sequence": s.sequence, "born": s.born, "models": []any{},
	})
	s.mu.Unlock()
	resp, err := registrations.Post("http://"+s.farm.store+"/put?topic=keyed.servers&key="+url.QueryEscape(s.id), "application/json", bytes.NewReader(raw))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// ServeHTTP implements http.Handler.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	id := q.Header.Get("Primrosehook-Request-Id")
	h.Set("Primrosehook-Request-Id", id)
	h.Set("Primrosehook-Instance-Id", s.id)
	if expected := q.Header.Get("Primrosehook-Expect-Instance"); expected != "" && expected != s.id {
		h.Set("Primrosehook-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	s.farm.ran.Add(1)
	time.Sleep(15 * time.Millisecond)
	if rand.IntN(closeEvery) == 0 {
		h.Set("Connection", "close")
	}
	answer := fmt.Sprintf("%s took %d bytes", id, len(body))
	h.Set("Primrosehook-Server-Signature", s.id+"."+id)
	h.Set("Primrosehook-Server-Load", "1,0,6")
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}
