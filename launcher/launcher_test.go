package launcher_test

import (
	"context"
	"net"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"primrosehook/driver"
	"primrosehook/faker"
	"primrosehook/launcher"
	"primrosehook/lister"
	"primrosehook/sender"
	"primrosehook/storereader"
)

var _ = Describe("Cluster", Ordered, func() {
	var c *launcher.Cluster
	var programs launcher.Programs

	BeforeAll(func(ctx context.Context) {
		dir, err := os.MkdirTemp("", "launcher")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		programs, err = launcher.Build(ctx, dir)
		Expect(err).NotTo(HaveOccurred())
		c = launcher.New(programs, GinkgoWriter)
		DeferCleanup(func() { c.Stop() })
		_, err = c.Platform(ctx, "-list-renewal", "3s")
		Expect(err).NotTo(HaveOccurred())
	})

	kinds := func() map[string][]string {
		list := lister.NewClient(c.PlatformURL(), sender.NewClient())
		all, err := list.Instances(context.Background())
		Expect(err).NotTo(HaveOccurred())
		out := map[string][]string{}
		for _, i := range all {
			out[i.Kind] = append(out[i.Kind], i.State)
		}
		return out
	}

	It("lists started stand-ins and drops killed ones from the list", func(ctx context.Context) {
		e, err := c.Engine(ctx, "-model", "tiny")
		Expect(err).NotTo(HaveOccurred())
		s, err := c.Service(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(kinds()).To(HaveKeyWithValue(lister.KindEngine, []string{lister.StateLive}))
		Expect(kinds()).To(HaveKeyWithValue(lister.KindService, []string{lister.StateLive}))
		Expect(s.Kill()).To(Succeed())
		Expect(e.Kill()).To(Succeed())
		Expect(kinds()).To(HaveKey(lister.KindEngine), "a killed process stays listed until its entry expires")
		Eventually(kinds, "30s").Should(BeEmpty())
	})

	It("runs several engines in one process", func(ctx context.Context) {
		e, err := c.Engine(ctx, "-count", "3", "-zone", "a,b")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(kinds()[lister.KindEngine]) }, "30s").Should(Equal(3))
		Expect(e.Kill()).To(Succeed())
		Eventually(kinds, "30s").Should(BeEmpty())
	})

	It("suspends and resumes a process", func(ctx context.Context) {
		e, err := c.Engine(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Suspend()).To(Succeed())
		limit, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, err = driver.NewClient(e.Addr, sender.NewClient()).Report(limit)
		Expect(err).To(HaveOccurred())
		Expect(e.Resume()).To(Succeed())
		_, err = driver.NewClient(e.Addr, sender.NewClient()).Report(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Kill()).To(Succeed())
	})

	It("ends a poisoned engine with its own exit status", func(ctx context.Context) {
		e, err := c.Engine(ctx, "-model", "tiny", "-poison", "poison")
		Expect(err).NotTo(HaveOccurred())
		client := driver.NewClient(e.Addr, sender.NewClient())
		s, err := client.Generate(ctx, driver.Request{ID: "a", Weights: driver.Weights{Model: "tiny"}, Prompt: "poison"})
		if err == nil {
			_, err = s.Next()
		}
		Expect(err).To(HaveOccurred())
		status, err := e.Wait(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(3))
	})

	It("sets and reads faults, and lists a leaving service as leaving", func(ctx context.Context) {
		s, err := c.Service(ctx)
		Expect(err).NotTo(HaveOccurred())
		faults := faker.ServiceFaults{Leaving: true}
		Expect(launcher.Put(ctx, s.URL()+"/faults", faults)).To(Succeed())
		var got faker.ServiceFaults
		Expect(launcher.Get(ctx, s.URL()+"/faults", &got)).To(Succeed())
		Expect(got).To(Equal(faults))
		Eventually(func() []string { return kinds()[lister.KindService] }, "30s").Should(Equal([]string{lister.StateLeaving}))
		Expect(s.Kill()).To(Succeed())
	})

	It("lists a stand-in as leaving on SIGTERM, then exits", func(ctx context.Context) {
		s, err := c.Service(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Terminate()).To(Succeed())
		Eventually(func() []string { return kinds()[lister.KindService] }, "30s").Should(ContainElement(lister.StateLeaving))
		status, err := s.Wait(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(0))
	}, NodeTimeout(60*time.Second))

	It("runs a single part of the platform, with settings from the environment", func(ctx context.Context) {
		addr, err := launcher.FreeAddr()
		Expect(err).NotTo(HaveOccurred())
		store, err := c.Start(ctx, addr, programs.Standin, []string{"STANDIN_PARTS=store", "STANDIN_STORE_RATE=7"}, "platform", "-listen", addr)
		Expect(err).NotTo(HaveOccurred())
		state, err := storereader.NewClient(store.URL(), sender.NewClient()).State(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Rate).To(BeEquivalentTo(7))
		_, err = lister.NewClient(store.URL(), sender.NewClient()).Instances(ctx)
		Expect(err).To(HaveOccurred())
		Expect(store.Kill()).To(Succeed())
	})

	It("reports that a process ended before it was ready", func(ctx context.Context) {
		_, err := c.Engine(ctx, "-no-such-flag")
		Expect(err).To(MatchError(ContainSubstring("ended before it was ready")))
	})
})

// echoServer sends back what it receives on each connection.
type echoServer struct{ listener net.Listener }

func (e *echoServer) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.runConn(c)
	}
}

func (e *echoServer) runConn(c net.Conn) {
	defer c.Close()
	buffer := make([]byte, 100)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		c.Write(buffer[:n])
	}
}

var _ = Describe("FaultProxy", func() {
	var proxy *launcher.FaultProxy
	var conn net.Conn

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go (&echoServer{l}).run()
		proxy, err = launcher.NewFaultProxy(l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { proxy.Close() })
		conn, err = net.Dial("tcp", proxy.Addr())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { conn.Close() })
	})

	// echo sends a text and returns what is received within a time, or "cut" if
	// the connection is closed.
	echo := func(text string, within time.Duration) string {
		if _, err := conn.Write([]byte(text)); err != nil {
			return "cut"
		}
		_ = conn.SetReadDeadline(time.Now().Add(within))
		buffer := make([]byte, 100)
		n, err := conn.Read(buffer)
		if err != nil && !strings.Contains(err.Error(), "timeout") {
			return "cut"
		}
		return string(buffer[:n])
	}

	It("forwards bytes", func() {
		Expect(echo("a", 10*time.Second)).To(Equal("a"))
	})

	It("closes open connections and refuses new ones", func() {
		Expect(echo("a", 10*time.Second)).To(Equal("a"))
		proxy.SetFault(launcher.NetworkFault{Cut: true})
		Eventually(func() string { return echo("b", time.Second) }, "10s").Should(Equal("cut"))
	})

	DescribeTable("holds bytes back and sends them when the fault ends", func(t launcher.NetworkFault) {
		Expect(echo("a", 10*time.Second)).To(Equal("a"))
		proxy.SetFault(t)
		Expect(echo("b", 50*time.Millisecond)).To(BeEmpty())
		proxy.SetFault(launcher.NetworkFault{})
		Expect(echo("", 10*time.Second)).To(Equal("b"))
	},
		Entry("to the target", launcher.NetworkFault{StallUpstream: true}),
		Entry("to the caller", launcher.NetworkFault{StallDownstream: true}),
	)

	It("delays bytes in each direction", func() {
		proxy.SetFault(launcher.NetworkFault{Delay: 100 * time.Millisecond})
		begin := time.Now()
		Expect(echo("a", 10*time.Second)).To(Equal("a"))
		Expect(time.Since(begin)).To(BeNumerically(">=", 200*time.Millisecond))
	})
})
