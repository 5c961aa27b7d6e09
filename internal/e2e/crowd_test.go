//go:build crowd

package e2e

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/crowd"
	"bluebellwind.example/internal/standin"
)

// The crowd of each test, and the machine of each process: its memory in megabytes and its
// descriptors. They were fixed on the code that did not bear the crowd.
const (
	crowdMembers     = 400
	crowdTime        = 3 * time.Second
	crowdMemoryMB    = 152
	crowdDescriptors = 400
	// calmDescriptors bounds the descriptors once the crowd has gone.
	calmDescriptors = 100
	// maxHeaderBytes is the limit on all headers of a request that docs/INTERFACE.md states, and
	// headerOverhead more than an ordinary request has.
	maxHeaderBytes = 64 << 10
	headerOverhead = 2 << 10
)

// startCrowdTargets starts an entry and the agent of an engine.
func startCrowdTargets(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, sessionRules)
	c.maxConnections, c.maxHeldBytes = crowdDescriptors/2, crowdMemoryMB<<20/8
	c.addAgent("draft-1", "ga-1", "drafts", "", c.serveEngine(standin.NewEngine(0, 0)))
	c.addEntry("entry-1", "ga-1")
	c.publish()
	return c
}

// bear plays a crowd and checks what the process held, and that ordinary callers are served
// afterwards.
func (c *cluster) bear(name string, play func(ctx context.Context)) {
	c.t.Helper()
	p := c.processes[name]
	observed := crowd.Process{PID: p.cmd.Process.Pid}
	endWatch := observed.WatchDescriptors()
	ctx, cancel := context.WithTimeout(c.t.Context(), crowdTime)
	defer cancel()
	play(ctx)
	<-ctx.Done()
	most, peak := endWatch(), p.peakMegabytes(c.t)
	c.t.Logf("%s held at most %d MB and %d descriptors", name, peak, most)
	c.assertLives(name)
	assert.Check(c.t, peak < crowdMemoryMB, "%d MB", peak)
	assert.Check(c.t, most < crowdDescriptors, "%d descriptors", most)
	c.eventually("the descriptors of the crowd are closed", func() bool { return observed.Descriptors() < calmDescriptors })
	c.assertServes()
	c.assertLives(name)
	c.waitReady("entry-1")
}

func (c *cluster) assertLives(name string) {
	c.t.Helper()
	select {
	case <-c.processes[name].exited:
		c.t.Fatalf("%s has ended: %v", name, c.processes[name].exitErr)
	default:
	}
}

// assertServes checks that an ordinary request is served, and one with the largest header and
// body that are allowed.
func (c *cluster) assertServes() {
	c.t.Helper()
	filler := strings.Repeat("x", maxHeaderBytes-headerOverhead)
	largest := chatBody(strings.Repeat("x", int(config.DefaultMaxBodyBytes)-len(chatBody("", false, 1))), false, 1)
	for description, headers := range map[string][]string{"an ordinary request is served": nil, "the largest request is served": {"X-Filler", filler}} {
		body := chatBody("short", false, 1)
		if headers != nil {
			body = largest
		}
		c.eventually(description, func() bool {
			httpClient.CloseIdleConnections()
			res, _, err := c.call("entry-1", http.MethodPost, "/v1/chat/completions", "demo-oakville", body, headers...)
			return err == nil && res.StatusCode == http.StatusOK
		})
	}
}

// overTLS returns a Dial that completes a TLS handshake.
func overTLS(address string, protocols ...string) crowd.Dial {
	return func(ctx context.Context) (net.Conn, error) {
		raw, err := crowd.TCP(address)(ctx)
		if err != nil {
			return nil, err
		}
		c := tls.Client(raw, &tls.Config{InsecureSkipVerify: true, NextProtos: protocols}) //nolint:gosec // Loopback only.
		handshake, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		if err := c.HandshakeContext(handshake); err != nil {
			raw.Close()
			return nil, err
		}
		return c, nil
	}
}

// http2Behaviours open many streams, each with a large header, and leave them open.
func http2Behaviours() []crowd.Behaviour {
	var whole, continued bytes.Buffer
	whole.WriteString(http2.ClientPreface)
	continued.WriteString(http2.ClientPreface)
	framer, endless := http2.NewFramer(&whole, nil), http2.NewFramer(&continued, nil)
	_, _ = framer.WriteSettings(), endless.WriteSettings() // A buffer takes all.
	for stream := uint32(1); stream < 200; stream += 2 {
		block := headerBlock(14 << 10)
		_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block, EndHeaders: true})
	}
	_ = endless.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: headerBlock(14 << 10)})
	before := continued.Len()
	_ = endless.WriteContinuation(1, false, headerBlock(14<<10))
	first, repeated := continued.String()[:before], continued.String()[before:]
	return []crowd.Behaviour{
		{Name: "streams that wait", First: whole.String()},
		{Name: "header without end", First: first, Repeated: repeated},
	}
}

// headerBlock encodes the header of a chat request with as many short fields as size bytes take.
func headerBlock(size int) []byte {
	var b bytes.Buffer
	encoder := hpack.NewEncoder(&b)
	for _, f := range [][2]string{
		{":method", "POST"},
		{":path", "/v1/chat/completions"},
		{":scheme", "https"},
		{":authority", "crowd.example"},
		{"authorization", "Bearer demo-oakville"},
		{"content-type", "application/json"},
	} {
		_ = encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]}) // A buffer takes all.
	}
	for i := 0; b.Len() < size-16; i++ {
		_ = encoder.WriteField(hpack.HeaderField{Name: fmt.Sprintf("x%x", i), Sensitive: true})
	}
	return b.Bytes()
}

// handshakeBehaviours are those of strangers that never complete a TLS handshake.
func handshakeBehaviours() []crowd.Behaviour {
	record := "\x16\x03\x01\x40\x00"                                     // A handshake record of 16 KiB.
	hello := record + "\x01\x00\xff\xf0" + strings.Repeat("\x00", 16380) // A ClientHello of nearly 64 KiB.
	return []crowd.Behaviour{
		{Name: "silence"},
		{Name: "hello that stops", First: hello + record + strings.Repeat("\x00", 16384) + record + strings.Repeat("\x00", 16384) + record},
		{Name: "bytes without end", Repeated: strings.Repeat("\xff\x7f", 2048)},
		{Name: "empty records without end", Repeated: strings.Repeat("\x16\x03\x01\x00\x00", 1024)},
		{Name: "byte by byte", First: record, Repeated: "\x01", Pause: 200 * time.Millisecond},
	}
}

// bearAll plays each behaviour against an address of a new process.
func bearAll(t *testing.T, name string, behaviours []crowd.Behaviour, dial func(*cluster) crowd.Dial) {
	for _, b := range behaviours {
		t.Run(b.Name, func(t *testing.T) {
			c := startCrowdTargets(t)
			c.bear(name, func(ctx context.Context) { crowd.Run(ctx, dial(c), crowdMembers, b) })
		})
	}
}

func (c *cluster) peerAddress(name string) string {
	for _, in := range c.instances {
		if in.Name == name {
			return in.Address
		}
	}
	return ""
}

// Callers of an entry that send heads without end, or stop within them, made it run out of
// memory and descriptors.
func TestCrowdOfCallersOfEntry(t *testing.T) {
	header := "Authorization: Bearer demo-oakville\r\nContent-Type: application/json\r\n"
	bearAll(t, "entry-1", crowd.HTTP("crowd.example", "/v1/chat/completions", header), func(c *cluster) crowd.Dial {
		return overTLS(c.callerAddresses["entry-1"], "http/1.1")
	})
}

// The same with HTTP/2, whose connections carry many requests at once.
func TestCrowdOfHTTP2CallersOfEntry(t *testing.T) {
	bearAll(t, "entry-1", http2Behaviours(), func(c *cluster) crowd.Dial { return overTLS(c.callerAddresses["entry-1"], "h2") })
}

// Callers that do not complete the TLS handshake must not use up an entry.
func TestCrowdOfHandshakesWithEntry(t *testing.T) {
	bearAll(t, "entry-1", handshakeBehaviours(), func(c *cluster) crowd.Dial { return crowd.TCP(c.callerAddresses["entry-1"]) })
}

// Strangers at the addresses for peers, who have no certificate, must not use up a process.
func TestCrowdOfPeersOfEntry(t *testing.T) {
	bearAll(t, "entry-1", handshakeBehaviours(), func(c *cluster) crowd.Dial { return crowd.TCP(c.peerAddress("entry-1")) })
}

func TestCrowdOfPeersOfAgent(t *testing.T) {
	bearAll(t, "draft-1", handshakeBehaviours(), func(c *cluster) crowd.Dial { return crowd.TCP(c.peerAddress("draft-1")) })
}

// A crowd at the admin address ended a process with few connections: its limit on a head was a
// megabyte.
func TestCrowdAtAdminOfEntry(t *testing.T) {
	bearAll(t, "entry-1", crowd.ShortHTTP("crowd.example", "/metrics"), func(c *cluster) crowd.Dial { return crowd.TCP(c.adminAddresses["entry-1"]) })
}

func TestCrowdAtAdminOfAgent(t *testing.T) {
	bearAll(t, "draft-1", crowd.ShortHTTP("crowd.example", "/metrics"), func(c *cluster) crowd.Dial { return crowd.TCP(c.adminAddresses["draft-1"]) })
}
