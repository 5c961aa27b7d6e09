package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"bluebellwind.example/internal/config"
	"bluebellwind.example/internal/connguard"
	"bluebellwind.example/verdict"
)

// chatRequest is the part of a chat completion request that routing needs. The
// body is forwarded unchanged, so it is decoded as an engine would: field names
// are case-sensitive, and each of these fields may occur once only.
type chatRequest struct {
	Model  string
	Stream bool
}

// bodyReadTimeout bounds the time that a caller may take to send a body.
const bodyReadTimeout = 30 * time.Second

// minBodyBytes is the size with which the buffer of a body starts.
const minBodyBytes = 4 << 10

// fullRetryAfter is when a caller may come back that is refused because the memory for bodies is
// full, or because its connection made room for another one.
const fullRetryAfter = time.Second

// bodyReader reads the bodies of requests. It is safe for concurrent use.
type bodyReader struct {
	// limit bounds one body, in bytes, and held all of them together.
	limit int64
	held  *connguard.Budget
}

// requestBody is the body of a request. Its memory must be released once.
type requestBody struct {
	bytes    []byte
	held     *connguard.Budget
	reserved int64
}

func (b *requestBody) release() { b.held.Release(b.reserved) }

// read reads the body of a request. It refuses a body larger than the limit, one that has no room
// in memory, or one that takes longer than bodyReadTimeout.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request) (*requestBody, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // Fails only in tests that have no connection.
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	defer connguard.ReadingBody(r.Context())()
	body := &requestBody{held: b.held}
	if err := body.readFrom(http.MaxBytesReader(w, r.Body, b.limit)); err != nil {
		body.release()
		return nil, bodyRefusal(err)
	}
	return body, nil
}

// errBodiesFull means that a body has no room in memory.
var errBodiesFull = errors.New("entry: the memory for bodies is full")

// readFrom reads to the end of source. Memory is reserved before it is used.
func (b *requestBody) readFrom(source io.Reader) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			size := max(minBodyBytes, 2*cap(b.bytes))
			grown := int64(config.BodyCopies * (size - cap(b.bytes)))
			if !b.held.Reserve(grown) {
				return errBodiesFull
			}
			b.reserved += grown
			b.bytes = append(make([]byte, 0, size), b.bytes...)
		}
		n, err := source.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.Refuse(verdict.TooLarge, verdict.NotRun, "the body is larger than the limit")
	case errors.Is(err, errBodiesFull):
		return verdict.Refuse(verdict.Overloaded, verdict.NotRun, "the memory for bodies is full").WithRetryAfter(fullRetryAfter)
	case errors.Is(err, connguard.ErrEvicted):
		return verdict.Refuse(verdict.Overloaded, verdict.NotRun, "the connection made room for another one").WithRetryAfter(fullRetryAfter)
	}
	return verdict.Wrap(verdict.InvalidRequest, verdict.NotRun, "the body did not arrive whole", err)
}

// decodeChat decodes a body, which must be exactly one JSON object.
func decodeChat(body []byte) (chatRequest, error) {
	var c chatRequest
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return c, notObjectError(err)
	}
	seen := map[string]bool{}
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return c, notObjectError(err)
		}
		if err := c.readField(dec, name, seen); err != nil {
			return c, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return c, notObjectError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return c, invalidRequest("the body goes on after its JSON object")
	}
	if c.Model == "" {
		return c, invalidRequest("field model: is missing")
	}
	return c, nil
}

// notObjectError returns the refusal of a body that is not a JSON object, with
// the cause err if there is one.
func notObjectError(err error) error {
	if err == nil {
		return invalidRequest("the body is not a JSON object")
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return invalidRequest("the body is not a JSON object: %v", err)
}

// readField decodes the value of the named field if routing needs it, and skips
// it otherwise. seen holds the needed fields that were read before.
func (c *chatRequest) readField(dec *json.Decoder, name json.Token, seen map[string]bool) error {
	var dest any
	wanted := ""
	switch name {
	case "model":
		dest, wanted = &c.Model, "a string"
	case "stream":
		dest, wanted = &c.Stream, "true or false"
	default:
		var skipped json.RawMessage
		if err := dec.Decode(&skipped); err != nil {
			return notObjectError(err)
		}
		return nil
	}
	field, _ := name.(string)
	if seen[field] {
		return invalidRequest("field %s: stands more than once", field)
	}
	seen[field] = true
	err := dec.Decode(dest)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return invalidRequest("field %s: is not %s", field, wanted)
	}
	if err != nil {
		return notObjectError(err)
	}
	return nil
}
