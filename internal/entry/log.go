package entry

import (
	"bytes"
	stdlog "log"
	"net/http"
	"time"

	"bluebellwind.example/internal/fleet"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

// logRequest records the outcome of a request in metrics and trace and writes one
// log line, which must hold neither content nor secrets.
func (e *Entry) logRequest(ex *exchange, r *http.Request, elapsed time.Duration, err error) {
	e.recordResponse(ex, elapsed, err)
	line := e.log.Info().Str("event", "request").Str("request", ex.id).Str("method", r.Method)
	if ex.organisation != nil {
		line = line.Str("organisation", ex.organisation.Name).Str("class", ex.opts.class.String())
	}
	if ex.snap != nil {
		line = line.Int64("revision", ex.snap.revision)
	}
	line = line.Dur("took", elapsed)
	if err == nil {
		line.Str("result", "whole").Msg("")
		return
	}
	refusal := verdict.AsError(err)
	line.Str("result", string(refusal.Code)).Str("verdict", refusal.Verdict.String()).Msg("")
}

// logAttempt records the outcome of an attempt in metrics and trace and writes
// one log line.
func (e *Entry) logAttempt(req *routedRequest, start *wire.Start, server *fleet.Server, elapsed time.Duration, err error) {
	e.recordAttempt(req, start, server, elapsed, err)
	line := e.log.Info().Str("event", "attempt").
		Str("request", req.id).
		Str("attempt", start.GetAttemptId()).
		Str("server", server.Name).
		Dur("took", elapsed)
	if err == nil {
		line.Str("result", "whole").Msg("")
		return
	}
	refusal := verdict.AsError(err)
	line = line.Str("result", string(refusal.Code)).Str("verdict", refusal.Verdict.String())
	if refusal.Err != nil {
		line = line.Str("cause", refusal.Err.Error())
	}
	line.Msg("")
}

// httpErrorLog returns a logger for net/http that writes to the log of the entry.
func (e *Entry) httpErrorLog() *stdlog.Logger {
	return stdlog.New(lineWriter(func(line []byte) {
		e.log.Debug().Str("event", "http").Str("cause", string(bytes.TrimSpace(line))).Msg("")
	}), "", 0)
}

// lineWriter is an io.Writer that passes each log line to the function.
type lineWriter func([]byte)

// Write implements io.Writer.
func (w lineWriter) Write(p []byte) (int, error) {
	w(p)
	return len(p), nil
}
