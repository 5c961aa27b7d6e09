package config_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/config"
)

const validSettings = `name: entry-a1
zone: ga-1
listen:
  callers: 127.0.0.1:0
  peers: 127.0.0.1:0
  admin: 127.0.0.1:0
keys:
  authority: ca.pem
  certificate: cert.pem
  key: key.pem
  callers_certificate: c.pem
  callers_key: k.pem
  ticket: ticket.key
platform:
  url: http://127.0.0.1:7000
entry:
  max_body_bytes: 1024
`

func TestGoodSettingsTakeDefaults(t *testing.T) {
	s, err := config.Parse("e.yaml", []byte(validSettings), config.RoleEntry)
	assert.NilError(t, err)
	assert.Equal(t, s.Entry.RequestTimeout, config.DefaultRequestTimeout)
	assert.Equal(t, s.DrainTimeout, config.DefaultDrainTimeout)
	assert.Equal(t, s.Entry.HeldBytes, config.DefaultHeldBytes)
	assert.Equal(t, s.Connections.Callers, 4096)
}

func TestBadSettingsNameFileLineAndField(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", "  admin: 127", "  admn: 127", `e.yaml:6: admn: unknown field`},
		{"duplicate key", "zone: ga-1", "zone: ga-1\nzone: ga-2", `e.yaml:3: zone: mapping key`},
		{"impossible value", "max_body_bytes: 1024", "max_body_bytes: -1", `e.yaml:17: entry.max_body_bytes: -1 is outside`},
		{"wrong type", "max_body_bytes: 1024", "max_body_bytes: many", `e.yaml:17:`},
		{"not an address", "peers: 127.0.0.1:0", "peers: localhost", `e.yaml:5: listen.peers: "localhost" is not IP:port`},
		{"bad duration", "  max_body_bytes: 1024", "  request_timeout: soon", `e.yaml:17: entry.request_timeout: "soon" is not a duration`},
		{"missing", "name: entry-a1\n", "", `e.yaml:1: name: is missing`},
		{"no room for a body", "max_body_bytes: 1024", "max_body_bytes: 1024\n  held_bytes: 2047", `e.yaml:18: entry.held_bytes: 2047 has no room`},
		{"no room for headers", "max_body_bytes: 1024", "max_body_bytes: 1024\n  header_bytes: -1", `e.yaml:18: entry.header_bytes: -1 is less`},
		{"impossible connections", "entry:\n", "connections: {callers: -1}\nentry:\n", `connections.callers: must be between`},
		{"role section missing", "entry:\n  max_body_bytes: 1024\n", "", `entry: is missing`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validSettings, c.old, c.new, 1)
			_, err := config.Parse("e.yaml", []byte(text), config.RoleEntry)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

const validRankSettings = `name: draft-1
zone: ga-1
listen: {peers: "127.0.0.1:0", admin: "127.0.0.1:0"}
keys: {authority: ca.pem, certificate: cert.pem, key: key.pem, ticket: ticket.key}
platform: {url: "http://127.0.0.1:7000"}
agent:
  backend: http://127.0.0.1:8000
  group: drafts
  ranks:
    total: 4
    layers: 2
    experts: 16
    slots: 6
    bytes_per_expert: 100
    store_bytes_per_second: 1000
    hosted:
      - {rank: 0, url: "http://127.0.0.1:8000/ranks/0"}
      - {rank: 3, url: "http://127.0.0.1:8000/ranks/3"}
`

func TestSettingsOfRanks(t *testing.T) {
	s, err := config.Parse("a.yaml", []byte(validRankSettings), config.RoleAgent)
	assert.NilError(t, err)
	assert.Equal(t, s.Agent.Ranks.PlanInterval, config.DefaultPlanInterval)
	for _, c := range []struct{ old, new, want string }{
		{"rank: 3", "rank: 4", "a.yaml:18: agent.ranks.hosted[1].rank: 4 is outside 0 to 3"},
		{"rank: 3", "rank: 0", "a.yaml:18: agent.ranks.hosted[1].rank: 0 is listed twice"},
		{`"http://127.0.0.1:8000/ranks/3"`, "nowhere", "agent.ranks.hosted[1].url: \"nowhere\" is not"},
		{"slots: 6", "slots: 3", "a.yaml:13: agent.ranks.slots: 4 ranks with 3 slots cannot hold 16 experts"},
		{"group: drafts", "service: drafts", "a.yaml:10: agent.ranks: requires agent.group"},
		{"layers: 2", "layers: 0", "a.yaml:11: agent.ranks.layers: 0 is outside"},
		{"total: 4", "total: 4\n    stall: 1ms", "agent.ranks.stall: 1ms is outside"},
		{"total: 4", "totl: 4", "totl: unknown field"},
	} {
		_, err := config.Parse("a.yaml", []byte(strings.Replace(validRankSettings, c.old, c.new, 1)), config.RoleAgent)
		assert.ErrorContains(t, err, c.want)
	}
}
