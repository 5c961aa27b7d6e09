package rankctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"bluebellwind.example/mapswitch"
)

const (
	dialTimeout = 2 * time.Second
	// maxResponseBytes bounds a response body. It exceeds the largest encoded map.
	maxResponseBytes = 32 << 20
	// maxHeaderBytes bounds the header of a response, in bytes.
	maxHeaderBytes = 64 << 10
)

// ErrProcessChanged is returned when the connected engine process is not the one
// that the order was made for. The order was not sent.
var ErrProcessChanged = errors.New("rankctl: the order was made for another engine process")

// NotLoaded reports whether err means that the rank refused an order because it
// has not loaded a map that the order names.
func NotLoaded(err error) bool {
	var status *statusError
	return errors.As(err, &status) && status.code == http.StatusConflict
}

// errConnectionLost is returned when a session needs a second connection: a
// session dials once, because a new connection may reach another process.
var errConnectionLost = errors.New("rankctl: the connection to the engine process broke")

// Client controls one rank. It implements mapswitch.RankEngine and is safe for
// concurrent use.
//
// A session uses one connection and therefore reaches one engine process. A new
// connection may reach a replacement process: Arm returns ErrProcessChanged until
// Status has identified the process behind it, and Confirm and Release affect
// only a hold that their attempt placed. So no order takes effect on a process
// for which it was not made.
type Client struct {
	baseURL string
	// allowRedial lets a session dial more than once. Only tests set it, to show
	// that the single connection is needed.
	allowRedial bool

	mu      sync.Mutex
	current *session
}

// session is a single connection to the engine. process is the engine process
// that the last Status call on this connection reported, or 0 before the first.
type session struct {
	client *http.Client

	allowRedial bool

	mu      sync.Mutex
	dialed  bool
	process uint64
}

// New returns a client of the rank whose control interface is at baseURL.
func New(baseURL string) *Client { return &Client{baseURL: baseURL} }

// Status reads the control state of the rank. A call that finds its connection
// lost returns an error, and the next call dials a new one.
func (c *Client) Status(ctx context.Context) (mapswitch.RankStatus, error) {
	s := c.session()
	var status Status
	err := s.call(ctx, http.MethodGet, c.baseURL+"/status", nil, &status)
	if err != nil {
		c.discardSession(s)
		return mapswitch.RankStatus{}, err
	}
	s.setProcess(status.Process)
	return status.Native(), nil
}

// Arm implements mapswitch.RankEngine.
func (c *Client) Arm(ctx context.Context, o mapswitch.ArmOrder) error {
	s := c.session()
	if s.getProcess() != o.Condition.Process {
		return ErrProcessChanged
	}
	return c.sendOrder(ctx, s, "/arm", FromArmOrder(o))
}

// Confirm implements mapswitch.RankEngine.
func (c *Client) Confirm(ctx context.Context, a mapswitch.Attempt) error {
	return c.sendOrder(ctx, c.session(), "/confirm", Attempt(a))
}

// Release implements mapswitch.RankEngine.
func (c *Client) Release(ctx context.Context, a mapswitch.Attempt) error {
	return c.sendOrder(ctx, c.session(), "/release", Attempt(a))
}

// Windows returns the measurement windows with numbers greater than after.
func (c *Client) Windows(ctx context.Context, after uint64) ([]Window, error) {
	s := c.session()
	var windows []Window
	err := s.call(ctx, http.MethodGet, c.baseURL+"/windows?after="+strconv.FormatUint(after, 10), nil, &windows)
	if err != nil {
		c.discardSession(s)
	}
	return windows, err
}

// Load sends the rank the encoded map id and returns once it is loaded. Loading is
// slow, so it uses a separate connection and does not delay orders. A map that
// reaches another engine process is harmless.
func (c *Client) Load(ctx context.Context, id string, encoded []byte) error {
	s := newSession()
	defer s.client.CloseIdleConnections()
	return s.call(ctx, http.MethodPut, c.baseURL+"/maps/"+url.PathEscape(id), encoded, nil)
}

// Map returns the encoded map, or nil if the rank has not loaded it.
func (c *Client) Map(ctx context.Context, id string) ([]byte, error) {
	s := newSession()
	defer s.client.CloseIdleConnections()
	var encoded []byte
	err := s.call(ctx, http.MethodGet, c.baseURL+"/maps/"+url.PathEscape(id), nil, &encoded)
	var status *statusError
	if errors.As(err, &status) && status.code == http.StatusNotFound {
		return nil, nil
	}
	return encoded, err
}

func (c *Client) sendOrder(ctx context.Context, s *session, path string, body any) error {
	payload, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("rankctl: %w", err)
	}
	err = s.call(ctx, http.MethodPost, c.baseURL+path, payload, nil)
	var status *statusError
	if err != nil && !errors.As(err, &status) {
		c.discardSession(s)
	}
	return err
}

func (c *Client) session() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		c.current = newSession()
		c.current.allowRedial = c.allowRedial
	}
	return c.current
}

// discardSession closes s; the next call opens a new session.
func (c *Client) discardSession(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == s {
		c.current = nil
	}
	s.client.CloseIdleConnections()
}

func newSession() *session {
	s := &session{}
	s.client = &http.Client{Transport: &http.Transport{
		DialContext:     s.dial,
		MaxConnsPerHost: 1,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	return s
}

func (s *session) dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dialed && !s.allowRedial {
		return nil, errConnectionLost
	}
	s.dialed = true
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
}

func (s *session) setProcess(p uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process = p
}

func (s *session) getProcess() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// statusError is a response with a status of 300 or above.
type statusError struct {
	code int
	body string
}

// Error implements error.
func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.code, e.body) }

// call sends one request. result may be nil to ignore the response body, a *[]byte
// to receive it as it is, or a pointer to decode JSON into.
func (s *session) call(ctx context.Context, method, target string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("rankctl: %w", err)
	}
	res, err := s.client.Do(req)
	if err != nil {
		return fmt.Errorf("rankctl: %w", err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("rankctl: %w", err)
	}
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("rankctl: %w", &statusError{res.StatusCode, string(data)})
	}
	switch out := result.(type) {
	case nil:
		return nil
	case *[]byte:
		*out = data
		return nil
	default:
		if err := json.Unmarshal(data, result); err != nil {
			return fmt.Errorf("rankctl: %w", err)
		}
		return nil
	}
}
