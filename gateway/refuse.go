package gateway

import (
	"net/http"
	"strconv"

	"bluebellwind.example/verdict"
)

// refusalStatus returns the HTTP status of a refusal. 503, 429 and 408 guarantee
// that the request has not run, so a request that may have run gets none of them.
func refusalStatus(e *verdict.Error) int {
	if e.Verdict != verdict.NotRun {
		if e.Code == verdict.DeadlineExceeded {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch e.Code {
	case verdict.InvalidRequest:
		return http.StatusBadRequest
	case verdict.Unauthenticated:
		return http.StatusUnauthorized
	case verdict.NoRoute:
		return http.StatusNotFound
	case verdict.TooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.LimitExceeded:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// saysNotRun reports whether a status tells the caller that its request has not run.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refuse sends a refusal by the gateway itself.
func (g *Gateway) refuse(x *exchange, e *verdict.Error) {
	status := refusalStatus(e)
	h := x.w.Header()
	g.headerCodec.SetRefusalHeaders(h, x.call.ID, e.RetryAfter)
	g.setConnectionClose(h)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(e.Reason)+1))
	g.metrics.countRefusal(x, e)
	g.logRefusal(x, e, status)
	x.w.WriteHeader(status)
	if _, err := x.w.Write([]byte(e.Reason + "\n")); err != nil {
		g.log.Debug().Str("event", "refusal_unread").Str("request", x.call.ID).Str("cause", err.Error()).Msg("")
	}
}
