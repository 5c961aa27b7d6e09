package platform

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// One odd element made the whole instance list unreadable.
func TestOddElementsOfTheInstanceListAreLeftOut(t *testing.T) {
	nested := strings.Repeat(`[{"a":`, 20_000) + "1" + strings.Repeat("}]", 20_000)
	sound := `{"name":"a","zone":"z","role":"entry","address":"10.0.0.1:80","group":"quoted \"[{ text"}`
	for name, odd := range map[string]string{
		"nested": nested, "nested field": `{"name":"b","address":"10.0.0.2:80","ranks":` + nested + `}`, "number": `{"name":"b","address":"10.0.0.2:80","ranks":[1e999]}`,
		"rank": `{"name":"b","address":"10.0.0.2:80","ranks":[-1]}`, "port": `{"name":"b","address":"10.0.0.2:65536"}`, "no name": `{"address":"10.0.0.2:80"}`, "text": `"b"`, "null": `null`,
	} {
		var list InstanceList
		text := `{"revision":7,"instances":[` + odd + `,` + sound + `]}`
		assert.NilError(t, json.Unmarshal(pruneDeep([]byte(text)), &list), name)
		assert.Equal(t, list.Revision, int64(7))
		assert.Equal(t, len(list.Instances), 1, name)
		assert.Equal(t, list.Instances[0].Group, `quoted "[{ text`)
	}
}

// Texts that are not nested deeply, or that are cut off, must stay as they are.
func TestOnlyDeepValuesArePruned(t *testing.T) {
	for _, text := range []string{`{"a":[1,{"b":"]]]"}]}`, strings.Repeat("[", 100), `"\"["`, "", "]]]", strings.Repeat("[", maxDepth) + strings.Repeat("]", maxDepth)} {
		assert.Equal(t, string(pruneDeep([]byte(text))), text)
	}
	deep := strings.Repeat("[", maxDepth+1) + strings.Repeat("]", maxDepth+1)
	assert.Equal(t, string(pruneDeep([]byte(deep))), strings.Repeat("[", maxDepth)+"null"+strings.Repeat("]", maxDepth))
}
