package rules

import (
	"testing"

	"gotest.tools/v3/assert"
)

// smallFile is a rules file with one rule of each kind, and a route by model as
// well as a route by path.
const smallFile = `# The smallest file.
organisation oakville token sha256:225124c2c76cb055558c8be7509c8475d89daece7253eea10089bb5ec573a8dd limit 50 requests/s 20000 tokens/s share 2 # asked for by Dana: spring
group drafts models certificate-8b,species-qa carries 400 requests/s 90000 tokens/s # asked for by Dana
service pledges # asked for by Dana

route POST /pledges to service pledges once timeout 5s # asked for by Dana
route model certificate-8b organisation oakville class interactive to group drafts # asked for by Dana
weights skew 0.2 rebalance 0.8 # asked for by Dana
`

func TestParseSmall(t *testing.T) {
	s, problems := Parse("small", []byte(smallFile))
	assert.Assert(t, s != nil, "%v", problems)
	d, ok := s.Decide(Request{Method: "POST", Path: "/pledges", Organisation: "oakville"})
	assert.Assert(t, ok && d.AtMostOnce && d.Target == "pledges" && d.Kind == ToService)
	d, ok = s.Decide(Request{Model: "certificate-8b", Organisation: "oakville"})
	assert.Assert(t, ok && d.Target == "drafts" && d.Kind == ToGroup)
	_, ok = s.Decide(Request{Model: "certificate-8b", Organisation: "oakville", Class: Batch})
	assert.Assert(t, !ok)
	o, ok := s.Authenticate("demo-oakville")
	assert.Assert(t, ok && o.Name == "oakville" && o.Share == 2 && o.TokensPerSecond == 20000)
}
