package ingress_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"bluebellwind.example/ingress"
)

func newTable(t *testing.T) *ingress.Table {
	t.Helper()
	table, err := ingress.NewTable(&ingress.Config{
		Version: 7,
		Routes: []ingress.Route{
			{Name: "all", Host: "a.example", Prefix: "/x/", Split: []ingress.Share{{Service: "s", Weight: 1}}},
			{Name: "deep", Host: "A.example", Prefix: "/x/y/", Split: []ingress.Share{{Service: "s", Weight: 3}, {Service: "t", Weight: 1}}},
		},
		Organisations: []ingress.Organisation{{Name: "north", Keys: []string{"k1", "k2"}}},
	})
	assert.NilError(t, err)
	return table
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := newTable(t)
	for path, want := range map[string]string{"/x/1": "all", "/x/y/1": "deep", "/x/y": "all"} {
		assert.Equal(t, table.Route("a.example:80", path).Name, want, path)
	}
	assert.Assert(t, table.Route("a.example", "/z/") == nil)
	assert.Assert(t, table.Route("b.example", "/x/1") == nil)
}

func TestSplitFollowsWeights(t *testing.T) {
	r := newTable(t).Route("a.example", "/x/y/1")
	for draw, want := range map[float64]string{0: "s", 0.74: "s", 0.76: "t", 0.999: "t"} {
		assert.Equal(t, r.ChooseService(draw), want)
	}
}

func TestKeysNameOrganisations(t *testing.T) {
	table := newTable(t)
	assert.Equal(t, table.Organisation("k2").Name, "north")
	assert.Assert(t, table.Organisation("k3") == nil)
	assert.Assert(t, table.RequiresOrganisation(""))
}

// A configuration whose last organisation was removed must not accept the keys of that
// organisation, nor keys that never existed.
func TestNoKeyIsValidWithoutOrganisations(t *testing.T) {
	for _, organisations := range [][]ingress.Organisation{nil, {}} {
		table, err := ingress.NewTable(&ingress.Config{Organisations: organisations})
		assert.NilError(t, err)
		assert.Assert(t, table.RequiresOrganisation("k1"))
		assert.Assert(t, table.Organisation("k1") == nil)
		assert.Assert(t, !table.RequiresOrganisation(""), "requests without a key are admitted")
	}
}

// An empty key in the configuration must not admit requests that have none.
func TestEmptyKeyNamesNoOrganisation(t *testing.T) {
	table, err := ingress.NewTable(&ingress.Config{Organisations: []ingress.Organisation{{Name: "north", Keys: []string{"", "k1"}}}})
	assert.NilError(t, err)
	assert.Assert(t, table.RequiresOrganisation(""))
	assert.Assert(t, table.Organisation("") == nil)
}

func TestRouteWithoutServiceIsRefused(t *testing.T) {
	_, err := ingress.NewTable(&ingress.Config{Routes: []ingress.Route{{Name: "r"}}})
	assert.ErrorContains(t, err, `route "r"`)
}

func TestOnlyIdempotentAndResumableRequestsRepeat(t *testing.T) {
	assert.Assert(t, !(&ingress.Route{}).Repeatable())
	assert.Assert(t, !(&ingress.Route{Repeat: ingress.Stream}).Repeatable())
	assert.Assert(t, (&ingress.Route{Repeat: ingress.Stream, Resumable: true}).Repeatable())
	assert.Assert(t, (&ingress.Route{Repeat: ingress.Idempotent}).Repeatable())
}
