package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
)

// UnmarshalJSON implements json.Unmarshaler. It leaves out the instances that cannot be
// decoded or used, which another writer may have listed, so that the others hold.
func (l *InstanceList) UnmarshalJSON(data []byte) error {
	var list struct {
		Revision  int64             `json:"revision"`
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("platform: instance list: %w", err)
	}
	l.Revision, l.Instances = list.Revision, make([]Instance, 0, len(list.Instances))
	for _, element := range list.Instances {
		var instance Instance
		if json.Unmarshal(element, &instance) == nil && instance.usable() {
			l.Instances = append(l.Instances, instance)
		}
	}
	return nil
}

// maxRanks bounds the ranks of a group.
const maxRanks = 4096

// usable reports whether the instance has a name, an address that can be dialed, and ranks
// within their range.
func (i *Instance) usable() bool {
	host, port, err := net.SplitHostPort(i.Address)
	if err != nil || host == "" || i.Name == "" {
		return false
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return false
	}
	for _, rank := range i.Ranks {
		if rank < 0 || rank >= maxRanks {
			return false
		}
	}
	return true
}

// maxDepth is the greatest depth to which a response is nested, several times what the
// platform's own values need.
const maxDepth = 64

// pruneDeep replaces the values of a JSON text that are nested deeper than maxDepth by null. The
// decoder rejects a whole text because of a single value that is nested too deeply.
func pruneDeep(data []byte) []byte {
	var pruned []byte
	depth, kept := 0, 0
	inString, escaped := false, false
	for i, c := range data {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = c == '\\', c != '"'
		case c == '"':
			inString = true
		case c == '{' || c == '[':
			if depth++; depth == maxDepth+1 {
				pruned = append(append(pruned, data[kept:i]...), "null"...)
			}
		case c == '}' || c == ']':
			if depth--; depth == maxDepth {
				kept = i + 1
			}
		}
	}
	if depth > maxDepth || pruned == nil {
		return data // It is not cut, so that the error is that of the whole text.
	}
	return append(pruned, data[kept:]...)
}
