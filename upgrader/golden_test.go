package upgrader_test

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"primrosehook/allotter"
	"primrosehook/balancer"
	"primrosehook/coordinator"
	"primrosehook/framer"
	"primrosehook/messenger"
	"primrosehook/pacer"
	"primrosehook/pinner"
	"primrosehook/quarantiner"
	"primrosehook/reuser"
	"primrosehook/sequencer"
	"primrosehook/sparer"
	"primrosehook/tailer"
	"primrosehook/throttler"
	"primrosehook/upgrader"
)

// recordedAt is a time in the samples.
var recordedAt = time.Date(2026, 12, 4, 17, 0, 0, 0, time.UTC)

// samples are one value of each message between instances and of the lease's entries, with
// every field set that the builds in testdata know.
func samples() map[string]any {
	part := quarantiner.PartVerdict{Part: 9, Crashes: 5, Initial: 3, Age: time.Second}
	suspect := quarantiner.Suspect{Digest: 7, Resource: 8, Marks: []quarantiner.Mark{{Engine: "s1-a", At: recordedAt, Concurrent: 2}}, Cleared: recordedAt}
	limit := throttler.Statement{Incarnation: "s1-a", Limited: true, PerSecond: 2.5, Age: time.Second, ID: 77}
	inFlight := map[string]balancer.InFlight{"s1": {RunningStreams: 3, PrefillTokens: 1460, CacheTokens: 9000, Requests: 4, RecentPromptTokens: 2200}}
	queues := []balancer.Queue{{Service: "llm", Key: "m0", Waiting: []int{1, 0, 2}, Granted: 1.5}}
	record := tailer.Record{Offset: 41, Key: "k", Value: []byte("value")}
	entitlement := allotter.Entitlement{Fraction: 0.125, Left: time.Second}
	late := coordinator.LateOrders{Known: []uint32{7, 8}, Orders: []coordinator.LateOrder{{Server: "s1", Incarnation: 9, Left: time.Second}}, Open: time.Second, Exact: true}
	reserve, release := pacerRequests()
	return map[string]any{
		"allot request": allotter.AllotRequest{Instance: "front-1.5f", Items: []allotter.Item{{Account: "a", Version: 7, Rate: 2700, Burst: 900, Need: 1500, Ahead: 300, Back: 200}}, Late: []allotter.Late{{Account: "a", Amount: 700, Age: time.Second}}},
		"allot reply":   allotter.AllotReply{NotArbiter: true, Grants: []allotter.Grant{{Amount: 1800, Wait: time.Second}}, Causes: []allotter.Cause{allotter.CauseLate}},
		"exchange request": coordinator.Report{
			Instance: "front-1.5f", Address: "10.1.0.38:7380", Link: 20, Members: 99,
			Demand:   []balancer.Demand{{Service: "llm", Key: "m0/a1", Arrived: 3, Waiting: 2, Build: "v2", Served: 1, Absent: 1, Full: 1}},
			InFlight: inFlight, Registry: 40, Config: 7, Overlay: 12, Fence: 5, Suspects: []quarantiner.Suspect{suspect},
			Parts: quarantiner.PartReport{
				Crashes:   []quarantiner.PartCrash{{Engine: "s1-a", Age: time.Second, Requests: []quarantiner.CutRequest{{ID: 1, Parts: []uint64{9, 10}}}}},
				Survivals: []quarantiner.PartAge{{Part: 10, Age: time.Second}}, Quarantines: []quarantiner.PartVerdict{part}, Refused: []uint64{9},
			},
			Limits: []throttler.Statement{limit}, Unavailable: []string{"s2-a"}, Waiting: true, Deputy: true, Queues: queues, Build: upgrader.Build{Revision: "1a2b3c4d5e6f", Formats: 1},
			Accounts: &allotter.Statement{Held: entitlement, Delegated: entitlement},
		},
		"exchange reply": coordinator.Reply{
			HoldsLease: true, Fence: 5, Instances: 9, Members: []string{"10.1.0.38:7380"}, InFlight: inFlight,
			Registry: []tailer.Record{record}, Next: 42, RegistryFresh: true, RegistryWhole: true, RegistryAge: time.Second, ConfigFresh: true,
			Config: []tailer.Record{record}, ConfigNext: 43, ConfigInStore: true,
			Overlays: []balancer.Overlay{{Server: "s1", Incarnation: "s1-a", Key: "m0", Loaded: true}}, Overlay: 13, Suspects: []quarantiner.Suspect{suspect},
			Parts: quarantiner.PartReply{
				Quarantines: []quarantiner.PartVerdict{part}, Cleared: []quarantiner.PartAge{{Part: 11, Age: time.Second}},
				Suspected: []uint64{12}, Watched: []uint64{13}, Trials: []uint64{14},
			},
			Limits: []throttler.Statement{limit}, Holder: "10.1.0.39:7380", LeaseFresh: true, Queues: queues, Builds: map[string]int{"1a2b3c4d5e6f (formats 1)": 9},
			Entitlement: &entitlement,
		},
		"lease entry":    coordinator.Entry{Instance: "front-1.5f", Machine: "front-1", Address: "10.1.0.38:7380", Era: 2, Fence: 5, Release: true, Clear: true, Late: &late, Entitled: &allotter.Entitled{Addresses: []uint32{7, 8}, Part: 0.125, Parts: []uint32{131072, 262144}}},
		"config request": coordinator.ConfigQuery{Offset: 41, From: 100},
		"config reply":   coordinator.ConfigPart{Version: 7, Offset: 41, Key: "config", Size: 300, From: 100, Bytes: []byte("part")},
		"pin request": pinner.PinRequest{
			Software: []pinner.Software{{Service: "llm", Build: "v2"}}, Pins: []pinner.Pin{{ID: 3, Software: 0, Process: 4}},
		},
		"find-pin request":     pinner.FindRequest{ID: 3},
		"find-pin reply":       pinner.FindReply{Known: true, Sure: true, Origin: pinner.Origin{Software: pinner.Software{Service: "llm", Build: "v2"}, Process: 4}, Age: time.Second},
		"admit request":        sparer.AdmitRequest{Incarnation: "s1-a", Bears: 8},
		"admit reply":          sparer.AdmitReply{Admitted: true, Wait: time.Second},
		"ended request":        sparer.EndedRequest{Incarnation: "s1-a", Bears: 8, Refused: true},
		"acquire request":      throttler.AcquireRequest{Statement: limit},
		"acquire reply":        throttler.AcquireReply{NotOwner: true, Granted: true, Wait: time.Second, Statement: limit},
		"reserve request":      reserve,
		"reserve reply":        pacer.Reservation{Wait: time.Second, Reserved: true, StatedHeld: 211},
		"release-slot request": release,
		"pause request":        balancer.Pause{Incarnation: "s1-a", Address: "10.1.64.3:8140", Leaving: true, Rest: time.Second},
		"take-turn request":    sequencer.TakeRequest{Key: 5},
		"take-turn reply":      sequencer.TakeReply{Taken: true, Wait: time.Second},
		"end-turn request":     sequencer.EndRequest{Key: 5, Broken: true},
		"frame":                framer.Message{Version: 1, ID: 6, Kind: "exchange", Trace: "00-1-2-01", Body: msgpack.RawMessage{0x80}},
	}
}

// pacerRequests returns the requests of a pacer that owns no schedule, as they are written: one
// for a slot, and one that gives the slot back.
func pacerRequests() (reserve, release any) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	bodies := make(chan msgpack.RawMessage, 2)
	s := messenger.NewServer(zap.NewNop())
	s.Handle("reserve", func(_ context.Context, body msgpack.RawMessage) (any, error) {
		bodies <- bytes.Clone(body)
		return pacer.Reservation{Wait: time.Second, Reserved: true}, nil
	})
	s.Handle("release-slot", func(_ context.Context, body msgpack.RawMessage) (any, error) {
		bodies <- bytes.Clone(body)
		return nil, nil
	})
	go func() { _ = s.Serve(ctx, listener) }()
	clock := clockwork.NewRealClock()
	p := pacer.New("self", []string{listener.Addr().String()}, messenger.NewClient(clock), clock, zap.NewNop())
	const incarnation = "s1-a"
	for i := 0; p.Owns(incarnation); i++ {
		// The address of the peer differs in each run, and so do the owners.
		p = pacer.New(fmt.Sprint("self", i), []string{listener.Addr().String()}, messenger.NewClient(clock), clock, zap.NewNop())
	}
	prompt := reuser.NewPrompt("m0", "a1")
	prompt.Add("5c1e07a2", 800)
	r, err := p.Reserve(ctx, incarnation, 1460, 300*time.Millisecond, balancer.EngineLoad{RunningStreams: 20, EventTokens: 4, Prompt: prompt, FreeCache: 23000})
	Expect(err).NotTo(HaveOccurred())
	p.Release(incarnation, r)
	sent := [2]map[string]any{}
	for i := range sent {
		var body msgpack.RawMessage
		Eventually(bodies, "5s").Should(Receive(&body))
		Expect(msgpack.Unmarshal(body, &sent[i])).To(Succeed())
		Expect(sent[i]["i"]).NotTo(BeZero())
	}
	Expect(sent[0]["i"]).To(Equal(sent[1]["i"]))
	for _, q := range sent {
		q["i"] = uint64(6) // it is random
	}
	return sent[0], sent[1]
}

// generic decodes a message into maps and lists.
func generic(raw []byte) any {
	var out any
	Expect(msgpack.Unmarshal(raw, &out)).To(Succeed())
	return normal(out)
}

// normal widens numbers, since their size on the wire depends on their value.
func normal(v any) any {
	switch r := reflect.ValueOf(v); r.Kind() {
	case reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64, reflect.Int:
		return float64(r.Int())
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		return float64(r.Uint())
	case reflect.Map:
		out := map[string]any{}
		for _, k := range r.MapKeys() {
			out[k.String()] = normal(r.MapIndex(k).Interface())
		}
		return out
	case reflect.Slice:
		if b, ok := v.([]byte); ok {
			return string(b)
		}
		out := make([]any, 0, r.Len())
		for i := range r.Len() {
			out = append(out, normal(r.Index(i).Interface()))
		}
		return out
	}
	return v
}

// missing lists what a message of an earlier build has and one of this build lacks, or has with
// another value. What this build adds is not missing: maps may have further keys.
func missing(path string, old, now any) []string {
	switch o := old.(type) {
	case map[string]any:
		n, ok := now.(map[string]any)
		if !ok {
			return []string{path}
		}
		var list []string
		for k, v := range o {
			list = append(list, missing(path+"."+k, v, n[k])...)
		}
		return list
	case []any:
		n, ok := now.([]any)
		if !ok || len(n) != len(o) {
			return []string{path}
		}
		var list []string
		for i, v := range o {
			list = append(list, missing(path+"[]", v, n[i])...)
		}
		return list
	}
	if !reflect.DeepEqual(old, now) {
		return []string{path}
	}
	return nil
}

// golden returns the messages that an earlier build wrote for its samples, by name.
func golden(file string) map[string][]byte {
	raw, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	var text map[string]string
	Expect(json.Unmarshal(raw, &text)).To(Succeed())
	all := map[string][]byte{}
	for name, v := range text {
		all[name], err = hex.DecodeString(v)
		Expect(err).NotTo(HaveOccurred())
	}
	return all
}

var _ = Describe("Messages and records", func() {
	// UPGRADER_WRITE=NAME writes testdata/NAME.json, for a landing that changes a format.
	It("are written for later builds on request", func() {
		name := os.Getenv("UPGRADER_WRITE")
		if name == "" {
			Skip("UPGRADER_WRITE is not set")
		}
		text := map[string]string{}
		for k, v := range samples() {
			raw, err := msgpack.Marshal(v)
			Expect(err).NotTo(HaveOccurred())
			text[k] = hex.EncodeToString(raw)
		}
		raw, err := json.MarshalIndent(text, "", " ")
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join("testdata", name+".json"), append(raw, '\n'), 0o644)).To(Succeed())
	})

	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		panic("there are no messages of earlier builds")
	}
	for _, file := range files {
		build := strings.TrimSuffix(filepath.Base(file), ".json")

		// Guards against a fleet in which this build reads nothing, or zeros, from instances
		// that have not been replaced yet.
		It("of "+build+" are decoded by this build with all that they hold", func() {
			now := samples()
			for name, raw := range golden(file) {
				Expect(now).To(HaveKey(name), "a kind of message that instances of %s send", build)
				into := reflect.New(reflect.TypeOf(now[name]))
				Expect(msgpack.Unmarshal(raw, into.Interface())).To(Succeed(), name)
				again, err := msgpack.Marshal(into.Elem().Interface())
				Expect(err).NotTo(HaveOccurred())
				Expect(missing(name, generic(raw), generic(again))).To(BeEmpty())
			}
		})

		// Guards against instances of an earlier build that read nothing, or zeros, from this one:
		// a field has the name, the shape and the meaning that they know.
		It("of this build hold all that instances of "+build+" read", func() {
			now := samples()
			for name, raw := range golden(file) {
				again, err := msgpack.Marshal(now[name])
				Expect(err).NotTo(HaveOccurred())
				Expect(missing(name, generic(raw), generic(again))).To(BeEmpty())
			}
		})
	}
})
