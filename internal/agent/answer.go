package agent

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

const (
	// bodyChunkBytes is the largest part of a response body in one reply message.
	bodyChunkBytes = 16 << 10
	// maxEventBytes is the largest server-sent event accepted.
	maxEventBytes = 256 << 10
	// doneEventData is the data of the event that marks a complete stream.
	doneEventData = "[DONE]"

	eventStreamType = "text/event-stream"
)

// replySender sends the messages of one response to the entry. Send blocks while
// the entry reads slowly.
type replySender interface {
	Send(*wire.RunReply) error
}

var errTruncated = verdict.Refuse(verdict.Interrupted, verdict.Ran, "the answer ended early")

// relay sends response to out. It returns nil only if the response was complete.
func (a *Agent) relay(response *http.Response, attemptID string, out replySender) error {
	defer response.Body.Close()
	head := &wire.Head{
		AttemptId:   attemptID,
		Status:      int32(response.StatusCode),
		ContentType: response.Header.Get("Content-Type"),
	}
	if err := out.Send(&wire.RunReply{Message: &wire.RunReply_Head{Head: head}}); err != nil {
		return entryGoneError(err)
	}
	mediaType, _, _ := mime.ParseMediaType(head.GetContentType())
	if mediaType == eventStreamType {
		return a.relayEvents(response.Body, attemptID, out)
	}
	return relayBody(response.Body, out)
}

// relayBody relays a body that is not an event stream. It relies on net/http,
// which returns io.EOF only after a complete body.
func relayBody(body io.Reader, out replySender) error {
	for {
		chunk := make([]byte, bodyChunkBytes)
		n, err := body.Read(chunk)
		if n > 0 {
			if sendErr := out.Send(&wire.RunReply{Message: &wire.RunReply_Data{Data: chunk[:n]}}); sendErr != nil {
				return entryGoneError(sendErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return truncatedError(err)
		}
	}
}

func (a *Agent) relayEvents(body io.Reader, attemptID string, out replySender) error {
	var lastEventAt time.Time
	for received, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return truncatedError(err)
		}
		if received.Data != doneEventData {
			if err := checkEventID(received.Data, attemptID); err != nil {
				return err
			}
		}
		now := time.Now()
		if !lastEventAt.IsZero() {
			a.serviceTimes.observeStep(now.Sub(lastEventAt))
		}
		lastEventAt = now
		event := &wire.Event{Type: received.Type, Data: received.Data}
		if err := out.Send(&wire.RunReply{Message: &wire.RunReply_Event{Event: event}}); err != nil {
			return entryGoneError(err)
		}
		if received.Data == doneEventData {
			return nil
		}
	}
	return errTruncated
}

// checkEventID rejects an event that does not carry the attempt ID, and so belongs
// to the response of another attempt.
func checkEventID(data, attemptID string) error {
	var event struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return verdict.Wrap(verdict.Interrupted, verdict.Ran, "the server sent a broken event", err)
	}
	if event.ID != attemptID {
		return verdict.Refuse(verdict.Interrupted, verdict.Ran, "the server mixed two answers")
	}
	return nil
}

func truncatedError(err error) error {
	return verdict.Wrap(verdict.Interrupted, verdict.Ran, "the answer ended early", err)
}

func entryGoneError(err error) error {
	return verdict.Wrap(verdict.Interrupted, verdict.Ran, "the entry left before the answer was whole", err)
}
