package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

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

// readBody reads the body of a request. It refuses a body larger than limit
// bytes or one that takes longer than bodyReadTimeout.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // Fails only in tests that have no connection.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.Refuse(verdict.TooLarge, verdict.NotRun, "the body is larger than the limit")
	}
	if err != nil {
		return nil, verdict.Wrap(verdict.InvalidRequest, verdict.NotRun, "the body did not arrive whole", err)
	}
	return body, nil
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
