package opscmd

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/operatorpb"
)

func TestRolloutSaysWhyAnInstanceLags(t *testing.T) {
	for name, c := range map[string]struct {
		inst *operatorpb.Instance
		want rolloutState
	}{
		"same":     {&operatorpb.Instance{Heard: true, Rules: &operatorpb.Rules{Revision: 7, Digest: 1}}, inForce},
		"refused":  {&operatorpb.Instance{Heard: true, Rules: &operatorpb.Rules{Revision: 6, RefusedRevision: 7}}, refused},
		"older":    {&operatorpb.Instance{Heard: true, Rules: &operatorpb.Rules{Revision: 6, RefusedRevision: 5}}, behind},
		"blind":    {&operatorpb.Instance{Heard: true, Rules: &operatorpb.Rules{Revision: 6, SourceFailing: true}}, sourceFailing},
		"conflict": {&operatorpb.Instance{Heard: true, Rules: &operatorpb.Rules{Revision: 7, Digest: 2}}, conflict},
		"told":     {&operatorpb.Instance{Heard: true, Rules: &operatorpb.Rules{Revision: 7, Digest: 1, Conflict: true}}, conflict},
		"silent":   {&operatorpb.Instance{Heard: true}, noReport},
		"listed":   {&operatorpb.Instance{}, notHeard},
	} {
		assert.Equal(t, rolloutStateOf(c.inst, 7, 1), c.want, name)
	}
}

func TestUnheardInstancesDoNotCount(t *testing.T) {
	good := &operatorpb.Instance{Name: "a", Heard: true, Rules: &operatorpb.Rules{Revision: 7, Digest: 1}}
	r := newRolloutReport(&fleetState{instances: []*operatorpb.Instance{good, {Name: "b"}}}, 7)
	assert.Assert(t, r.complete())
	assert.Equal(t, r.NotHeard, 1)
	assert.Assert(t, !newRolloutReport(&fleetState{instances: []*operatorpb.Instance{{Name: "b"}}}, 7).complete(), "a rollout with no instance heard from must not be complete")
}

func TestClientFileIsStrict(t *testing.T) {
	file := filepath.Join(t.TempDir(), "client.yaml")
	for text, want := range map[string]string{
		"entries: [127.0.0.1:1]\nkey: k\n": "",
		"entry: [127.0.0.1:1]\n":           `unknown field "entry"`,
		"key: a\nkey: b\n":                 `"key" already defined`,
	} {
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		c := Connection{Config: file, Authority: "flag"}
		err := c.applyFile()
		if want != "" {
			assert.ErrorContains(t, err, want)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, c.Entry[0]+c.Key+c.Authority, "127.0.0.1:1kflag")
	}
}
