package entry

import (
	"net/url"
	"testing"

	"gotest.tools/v3/assert"
)

// A path with an encoded slash was decided on by the rule for the decoded path, while the
// service gets it as it was sent.
func TestEncodedSlashesSeparateNoParts(t *testing.T) {
	for sent, want := range map[string]string{
		"/pledges/1": "/pledges/1", "/pledges%2F1": "/pledges%2F1", "/pledges%2f1": "/pledges%2F1",
		"/pl%65dges/a%20b": "/pledges/a b", "/caf%C3%A9": "/café", "/a%252Fb": "/a%2Fb",
	} {
		u, err := url.ParseRequestURI(sent)
		assert.NilError(t, err)
		assert.Equal(t, rulePath(u), want, sent)
	}
}
