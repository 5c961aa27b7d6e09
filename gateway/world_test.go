package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"bluebellwind.example/backends"
	"bluebellwind.example/discovery"
	"bluebellwind.example/ingress"
	"bluebellwind.example/internal/logging"
	"bluebellwind.example/routing/retry"
)

// testHeaderCodec is a HeaderCodec with headers used only in tests.
type testHeaderCodec struct{}

func (testHeaderCodec) ParseRequest(h http.Header) Call {
	remaining, _ := strconv.Atoi(h.Get("Remaining"))
	return Call{
		ID: h.Get("Id"), Key: h.Get("Key"), Remaining: time.Duration(remaining) * time.Millisecond, LastEventID: h.Get("Last"),
		SharedParts: strings.FieldsFunc(h.Get("Parts"), func(r rune) bool { return r == ',' }),
	}
}

func (testHeaderCodec) SetRequestHeaders(h http.Header, m RequestMetadata) {
	h.Del("Key")
	h.Set("Server", m.Server)
	h.Set("Organisation", m.Organisation)
	h.Set("Remaining", strconv.FormatInt(m.Remaining.Milliseconds(), 10))
	if m.LastEventID != "" {
		h.Set("Last", m.LastEventID)
	}
}

func (testHeaderCodec) MatchesRequest(h http.Header, id string) bool { return h.Get("Id") == id }

func (testHeaderCodec) ParseResponse(_ int, h http.Header) ResponseMetadata {
	seconds, _ := strconv.ParseFloat(h.Get("Backoff"), 64)
	coldMillis, _ := strconv.Atoi(h.Get("Cold"))
	var limit *float64
	if perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		limit = &perSecond
	}
	return ResponseMetadata{
		RequestLimit: limit, ColdRemaining: time.Duration(coldMillis) * time.Millisecond,
		MalformedCold: h.Get("Malformed-Cold"),
		NotRun:        h.Get("Not-Run") != "", FaultyServer: h.Get("Faulty"), HasSeal: h.Get("Seal") != "",
		Leaving: h.Get("Leaving") != "", Backoff: time.Duration(seconds * float64(time.Second)), Malformed: h.Get("Malformed"),
	}
}

func (testHeaderCodec) SetRefusalHeaders(h http.Header, id string, retryAfter time.Duration) {
	h.Set("Id", id)
	if retryAfter > 0 {
		h.Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	}
}

// fakeSource is a configuration source that returns what a test has set, and an
// error if nothing is set.
type fakeSource struct {
	mu       sync.Mutex
	snapshot *discovery.Snapshot
}

func (s *fakeSource) Read(context.Context) (*discovery.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot == nil {
		return nil, errors.New("source unavailable")
	}
	return s.snapshot, nil
}

func (s *fakeSource) Watch(ctx context.Context, _ int64, _ time.Duration) (*discovery.Changes, error) {
	p, err := s.Read(ctx)
	if err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Millisecond)
	return &discovery.Changes{Revision: p.Revision}, nil
}

// stubServer is a backend server whose responses are written by the test.
type stubServer struct {
	backends.Server
	// requestCount is the number of requests received.
	requestCount atomic.Int64
}

// harness is a gateway with stub servers and an HTTP server for a test's callers.
type harness struct {
	t            *testing.T
	source       *fakeSource
	gateway      *Gateway
	callerServer *httptest.Server
	servers      []backends.Server
	// agents report on servers, see startAgents.
	agents    []func()
	logOutput logBuffer
	// engine is set if the servers are model servers.
	engine *ingress.Engine
	// service has further properties of the service; its name and engine are set by start.
	service ingress.Service
	// maxProofAge is short in tests that wait until the proof is stale.
	maxProofAge time.Duration
	// freeRetries is the retry budget.
	freeRetries float64
	// maxAttempts is that of the route for plain requests that may be repeated.
	maxAttempts int
	// timeout is the timeout of all routes.
	timeout time.Duration
	// homeRegions are the regions that the organisation allows.
	homeRegions []string
	// idleTimeout is how long callers' connections may be idle; zero means no limit.
	idleTimeout time.Duration
	// headerBytes is the limit on headers in the configuration; zero if it states none.
	headerBytes int
}

const (
	// longProofAge does not expire within a test, even on a busy machine.
	longProofAge  = time.Minute
	shortProofAge = 600 * time.Millisecond
)

// logBuffer collects the log output.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// logLines returns the log lines of a request. It first waits 100 ms for the log
// writer.
func (h *harness) logLines(id string) string {
	h.t.Helper()
	time.Sleep(100 * time.Millisecond)
	var out []string
	for _, line := range strings.Split(h.logOutput.String(), "\n") {
		if strings.Contains(line, "request="+id+" ") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	return &harness{t: t, source: &fakeSource{}, maxProofAge: longProofAge, freeRetries: 100, maxAttempts: 2, timeout: 2 * time.Second}
}

// addServer adds a backend server that handles each request with handle.
func (h *harness) addServer(id string, handle func(c net.Conn, r *http.Request)) *stubServer {
	h.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = l.Close() })
	b := &stubServer{Server: backends.Server{ID: id, Service: "svc", Address: l.Addr().String(), Zone: "z", Slots: 4}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c, handle)
		}
	}()
	h.servers = append(h.servers, b.Server)
	return b
}

func (b *stubServer) serve(c net.Conn, handle func(net.Conn, *http.Request)) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b.requestCount.Add(1)
		handle(c, r)
	}
}

// start starts the gateway with one route of each kind and waits until it is
// ready.
func (h *harness) start() {
	h.t.Helper()
	split := []ingress.Share{{Service: "svc", Weight: 1}}
	route := func(name string, kind ingress.RouteKind, attempts int) ingress.Route {
		return ingress.Route{
			Name: name, Host: "127.0.0.1", Prefix: "/" + name + "/", Repeat: kind, Split: split, MaxAttempts: attempts,
			Timeout: h.timeout, Objective: 300 * time.Millisecond, Resumable: kind == ingress.Stream,
		}
	}
	public := route("public", ingress.Idempotent, 2)
	public.Public = true
	service := h.service
	service.Name, service.Engine = "svc", h.engine
	h.source.snapshot = &discovery.Snapshot{
		Revision: 1,
		Servers:  h.servers,
		Config: &ingress.Config{
			Version:       1,
			Routes:        []ingress.Route{route("once", ingress.AtMostOnce, 1), route("again", ingress.Idempotent, h.maxAttempts), route("stream", ingress.Stream, 2), public},
			Services:      []ingress.Service{service},
			Organisations: []ingress.Organisation{{Name: "north", Keys: []string{"key"}, AllowedRegions: h.homeRegions}},
			Limits:        ingress.Limits{IdleTimeout: h.idleTimeout, MaxHeaderBytes: h.headerBytes},
		},
	}
	logger := logging.NewBounded(&h.logOutput, "info").Logger
	directory := backends.NewDirectory("z", 1)
	follower := discovery.NewFollower(h.source, directory, discovery.PeerAddresses{
		All:     func() []string { return nil },
		Readers: func() []string { return nil },
	}, logger)
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)
	go follower.Run(ctx)
	h.gateway = New(Options{
		HeaderCodec: testHeaderCodec{}, Follower: follower, Directory: directory, GatewayCount: func() int { return 1 }, Log: logger,
		Limits: Limits{MaxProofAge: h.maxProofAge, RetryWindow: retry.WindowConfig{Span: 10 * time.Second, FreeRetries: h.freeRetries}},
	})
	server := h.gateway.newCallerServer()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(h.t, err)
	h.callerServer = &httptest.Server{URL: "http://" + l.Addr().String(), Listener: l, Config: server}
	go func() { _ = server.Serve(h.gateway.callerGuard.Listener(l)) }()
	h.t.Cleanup(func() { _ = server.Close() })
	poll.WaitOn(h.t, func(poll.LogT) poll.Result {
		if h.gateway.ready() {
			return poll.Success()
		}
		return poll.Continue("the gateway is not ready yet")
	})
}

// stopSource makes the configuration source fail, so that the proof expires.
func (h *harness) stopSource() {
	h.source.mu.Lock()
	defer h.source.mu.Unlock()
	h.source.snapshot = nil
}

type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request and reads its whole response.
func (h *harness) send(path string, header ...string) callerResponse {
	h.t.Helper()
	req, err := http.NewRequest(http.MethodPost, h.callerServer.URL+path, strings.NewReader("body"))
	assert.NilError(h.t, err)
	req.Header.Set("Id", "1")
	req.Header.Set("Key", "key")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// writeResponse writes a complete response.
func writeResponse(c net.Conn, r *http.Request, status int, body string, extra ...string) {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nSeal: %s\r\nContent-Length: %d\r\n", status, r.Header.Get("Id"), r.Header.Get("Server"), len(body))
	for _, line := range extra {
		head += line + "\r\n"
	}
	_, _ = io.WriteString(c, head+"\r\n"+body)
}

// writeEvents writes the events with the IDs from..to of a chunked stream, and
// the end of the stream if complete is set.
func writeEvents(c net.Conn, r *http.Request, from, to int, complete bool) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nSeal: "+r.Header.Get("Server")+
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := from; i <= to; i++ {
		ev := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
	}
	if complete {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// eventText returns the events with the IDs from..to as writeEvents writes them.
func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}
