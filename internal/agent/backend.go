package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

const (
	// requestIDHeader carries the attempt ID to the backend server, which returns
	// it in its response.
	requestIDHeader    = "X-Request-Id"
	backendDialTimeout = 2 * time.Second
	backendIdleTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of a response, which is kept in memory: a faulty server
	// may send one without end.
	maxHeaderBytes = 64 << 10
	// engineRetryAfter is the retry delay that a caller gets when an engine does
	// not accept a request.
	engineRetryAfter = time.Second
)

// backend is the HTTP client of the backend server. It is safe for concurrent
// use.
type backend struct {
	baseURL string
	// client keeps connections; onceClient opens one for each call that may run once.
	// net/http sends some requests again if a kept connection turns out to be closed, and a
	// late copy of an earlier answer can only come on a kept connection.
	client, onceClient *http.Client
	// groupMember is set if the backend server is an engine of a group. Then every
	// response must carry the attempt ID, and error statuses are turned into
	// refusals with a verdict.
	groupMember bool
}

func newBackend(baseURL string, maxIdleConns int, groupMember bool) *backend {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: backendDialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     backendIdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	onceTransport := transport.Clone()
	onceTransport.DisableKeepAlives = true
	return &backend{
		baseURL:     baseURL,
		groupMember: groupMember,
		client:      newBackendClient(transport),
		onceClient:  newBackendClient(onceTransport),
	}
}

func newBackendClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// call sends the attempt and returns the response with its body unread. Errors
// are *verdict.Error.
func (b *backend) call(ctx context.Context, s *wire.Start) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, s.GetMethod(), b.baseURL+s.GetTarget(), bytes.NewReader(s.GetBody()))
	if err != nil {
		return nil, verdict.Wrap(verdict.InvalidRequest, verdict.NotRun, "the request cannot be put to the server", err)
	}
	req.Header.Set(requestIDHeader, s.GetAttemptId())
	req.Header.Set("X-Organisation", s.GetOrganisation())
	if s.GetContentType() != "" {
		req.Header.Set("Content-Type", s.GetContentType())
	}
	client := b.client
	if s.GetTicket() != "" {
		client = b.onceClient
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, callError(err)
	}
	if err := checkStatus(res); err != nil {
		res.Body.Close()
		return nil, err
	}
	if err := b.checkID(res, s.GetAttemptId()); err != nil {
		res.Body.Close()
		b.client.CloseIdleConnections() // Another answer may follow on the connection.
		return nil, err
	}
	if !b.groupMember {
		return res, nil
	}
	if err := engineRefusal(res); err != nil {
		res.Body.Close()
		return nil, err
	}
	return res, nil
}

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// checkStatus rejects a response whose status code no answer to a request has. The server has
// got the request, so it may have run.
func checkStatus(res *http.Response) error {
	if res.StatusCode >= http.StatusOK && res.StatusCode <= maxStatus {
		return nil
	}
	return verdict.Wrap(verdict.Interrupted, verdict.MayHaveRun, "the server sent no answer", fmt.Errorf("no answer has status %03d", res.StatusCode))
}

// engineRefusal converts an error status of an engine to a refusal: 429 and 503
// mean that it did not accept the request; after any other status from 500 on,
// the request may have run.
func engineRefusal(res *http.Response) error {
	switch {
	case res.StatusCode == http.StatusTooManyRequests, res.StatusCode == http.StatusServiceUnavailable:
		return verdict.Refuse(verdict.Unavailable, verdict.NotRun, "the engine did not take the request").WithRetryAfter(engineRetryAfter)
	case res.StatusCode >= http.StatusInternalServerError:
		return verdict.Refuse(verdict.Interrupted, verdict.MayHaveRun, "the engine failed")
	default:
		return nil
	}
}

// checkID rejects a response that carries the ID of another attempt and, from an engine of
// a group, one without an ID. It comes before anything that the response says is believed:
// a faulty server may write an earlier response once more.
func (b *backend) checkID(res *http.Response, attemptID string) error {
	responseID := res.Header.Get(requestIDHeader)
	if responseID == attemptID || (responseID == "" && !b.groupMember) {
		return nil
	}
	return verdict.Wrap(verdict.Interrupted, verdict.MayHaveRun, "the server answered another request",
		fmt.Errorf("response carries ID %q, want attempt %q", responseID, attemptID))
}

// callError classifies a failed call. Only a failure to connect proves that the
// request did not run.
func callError(err error) *verdict.Error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return verdict.Wrap(verdict.Unavailable, verdict.NotRun, "the server does not answer", err).WithRetryAfter(time.Second)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return verdict.Wrap(verdict.DeadlineExceeded, verdict.MayHaveRun, "the deadline passed while the server ran the request", err)
	}
	return verdict.Wrap(verdict.Interrupted, verdict.MayHaveRun, "the connection to the server broke", err)
}
