package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/verdict"
)

var testNow = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func TestBadBodiesGetAClearAnswer(t *testing.T) {
	for _, c := range []struct{ body, want string }{
		{``, "the body is not a JSON object: unexpected EOF"},
		{`null`, "the body is not a JSON object"},
		{`[]`, "the body is not a JSON object"},
		{`{"model":`, "the body is not a JSON object: unexpected EOF"},
		{`{"model":"m"`, "the body is not a JSON object: unexpected EOF"},
		{`{'model':"m"}`, "the body is not a JSON object: invalid character '\\''"},
		{"\xef\xbb\xbf{\"model\":\"m\"}", "the body is not a JSON object: invalid character 'ï'"},
		{`{"model":"m"} {}`, "the body goes on after its JSON object"},
		{`{}`, "field model: is missing"},
		{`{"Model":"m"}`, "field model: is missing"},
		{`{"model":null}`, "field model: is missing"},
		{`{"model":7}`, "field model: is not a string"},
		{`{"model":"m","stream":"yes"}`, "field stream: is not true or false"},
		{`{"model":"a","model":"b"}`, "field model: stands more than once"},
		{`{"model":"m","x":` + strings.Repeat("[", 20_000), "exceeded max depth"},
	} {
		_, err := decodeChat([]byte(c.body))
		assertRefused(t, err, c.want)
	}
	got, err := decodeChat([]byte(`{"messages":[{"model":"inner"}],"stream":true,"model":"m","MODEL":"other"}`))
	assert.NilError(t, err)
	assert.Equal(t, got, chatRequest{Model: "m", Stream: true})
}

func TestBadHeadersGetAClearAnswer(t *testing.T) {
	for _, c := range []struct{ name, value, want string }{
		{headerClass, "urgent", `header X-Request-Class: "urgent" is neither interactive nor batch`},
		{headerClass, strings.Repeat("\x01", maxHeaderValueBytes), "header X-Request-Class: "},
		{headerClass, strings.Repeat("x", maxHeaderValueBytes+1), "is given more than once or is too long"},
		{headerPriority, "u=8", `header Priority: u="8" is outside 0 to 7`},
		{headerPriority, "u=99999999999999999999", "header Priority: u="},
		{headerTimeout, "0s", `header X-Request-Timeout: "0s" is not a time`},
		{headerTimeout, "-1s", `header X-Request-Timeout: "-1s" is not a time`},
		{headerTimeout, "5", `header X-Request-Timeout: "5" is not a time`},
		{headerDeadline, "tomorrow", `header X-Request-Deadline: "tomorrow" is not an RFC 3339 time`},
		{headerDeadline, "2026-12-03T12:00:00Z", "the deadline has passed already"},
		{headerIdempotencyKey, strings.Repeat("k", maxHeaderValueBytes+1), "header Idempotency-Key: is given more"},
	} {
		_, err := readOptions(http.Header{c.name: {c.value}}, testNow)
		assertRefused(t, err, c.want)
	}
	_, err := readOptions(http.Header{headerPriority: {"u=1", "u=2"}}, testNow)
	assertRefused(t, err, "header Priority: is given more than once")
}

// assertRefused checks that err has the verdict "not run", a client error status
// or that of an exceeded deadline, and a bounded reason that contains want, and
// that its body can be encoded.
func assertRefused(t *testing.T, err error, want string) {
	t.Helper()
	assert.Assert(t, err != nil, want)
	refusal := verdict.AsError(err)
	assert.Equal(t, refusal.Verdict, verdict.NotRun)
	assert.Assert(t, httpStatus[refusal.Code] < http.StatusInternalServerError || refusal.Code == verdict.DeadlineExceeded)
	assert.Assert(t, strings.Contains(refusal.Reason, want), "%q lacks %q", refusal.Reason, want)
	assert.Assert(t, len(refusal.Reason) <= maxReasonBytes+len("…"))
	_, err = json.Marshal(newRefusalBody(refusal, "id", ""))
	assert.NilError(t, err)
}

func FuzzDecodeChat(f *testing.F) {
	for _, seed := range []string{
		`{"model":"certificate-8b","stream":true,"messages":[{"role":"user","content":"oak"}]}`,
		`{"model":"a","MODEL":"b"}`, `{"model":"a","model":"b"}`, `{"model":1}`, `[{}]`, `{"a":[[[`, "\xff{", ``,
		`{"model":"m","x":1e999}`, `{"model":"m",}`, `{"\u006dodel":"m"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		got, err := decodeChat(body)
		if err != nil {
			assertRefused(t, err, "")
			return
		}
		// Decoding into a map, by exact field names, gives the same values.
		var naive map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal(body, &naive))
		var model string
		assert.NilError(t, json.Unmarshal(naive["model"], &model))
		assert.Equal(t, got.Model, model)
		var stream bool
		if naive["stream"] != nil {
			assert.NilError(t, json.Unmarshal(naive["stream"], &stream))
		}
		assert.Equal(t, got.Stream, stream)
	})
}

func FuzzReadOptions(f *testing.F) {
	f.Add("key", "batch", "u=2, i", "2.5s", "2026-12-03T12:00:05Z")
	f.Add("bbt1.x.y", "interactive", "u=-1", "1e9h", "2026-12-03T12:00:05.000000001+14:00")
	f.Add("", "", ",=,u=", "9223372036854775807ns", "0000-01-01T00:00:00Z")
	f.Fuzz(func(t *testing.T, key, class, priority, timeout, deadline string) {
		h := http.Header{}
		for name, value := range map[string]string{
			headerIdempotencyKey: key, headerClass: class, headerPriority: priority, headerTimeout: timeout, headerDeadline: deadline,
		} {
			if value != "" {
				h.Set(name, value)
			}
		}
		o, err := readOptions(h, testNow)
		if err != nil {
			assertRefused(t, err, "")
			return
		}
		assert.Assert(t, o.priority >= 0 && o.priority <= lowestPriority)
		assert.Assert(t, o.deadline.IsZero() || o.deadline.After(testNow))
		assert.Equal(t, o.deadline.IsZero(), timeout == "" && deadline == "")
	})
}
