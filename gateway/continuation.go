package gateway

import (
	"errors"
	"fmt"
	"mime"
	"net/http"
)

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// errNotContinued means that the response of another server does not go on with the stream
// that the caller has begun to receive. Errors that wrap it say why.
var errNotContinued = errors.New("gateway: the stream is not continued")

var (
	errNoFurtherEvent = fmt.Errorf("%w: it ends without a further event", errNotContinued)
	errEventWithoutID = fmt.Errorf("%w: it begins with an event without an ID", errNotContinued)
	errEventGap       = fmt.Errorf("%w: it leaves out events", errNotContinued)
)

// continuation is what the response of another server must be like to go on with a stream:
// it must be known to begin after the last event that the caller has. It does not change.
type continuation struct {
	// lastID is the ID of the last event that the caller has received.
	lastID uint64
	// consecutive is set if each event so far had the ID that follows the one before.
	consecutive bool
	// mediaType is that of the response with which the stream began.
	mediaType string
}

// acceptsHeader reports whether a response with this header may be a continuation. An error
// page is none, even if it comes with the status of a success.
func (c *continuation) acceptsHeader(h http.Header) bool {
	mediaType := mediaTypeOf(h)
	return mediaType == eventStreamType || mediaType == c.mediaType
}

// hasEvent reports whether the caller has the event already.
func (c *continuation) hasEvent(ev event) bool { return ev.hasID && ev.id <= c.lastID }

// checkFirst returns an error if ev is not the event with which the stream goes on.
func (c *continuation) checkFirst(ev event) error {
	switch {
	case !ev.hasID:
		return errEventWithoutID
	case c.consecutive && ev.id != c.lastID+1:
		return errEventGap
	}
	return nil
}

// mediaTypeOf returns the media type of a response; empty if it states none.
func mediaTypeOf(h http.Header) string {
	mediaType, _, _ := mime.ParseMediaType(h.Get("Content-Type")) // What cannot be parsed is none.
	return mediaType
}
