package config_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/internal/config"
)

const nodeSettings = `name: "gw"
zone: "z"
mesh: "10.0.0.1:7180"
seeds: ["10.0.0.2:8229", "10.0.0.3:8229"]
store: "10.0.0.9:8223"
zones: {"z":"r1","y":"r2"}
callers: "10.0.0.1:8227"
ready: "10.0.0.1:8220"
bounds:
  revoke_ms: 4000
`

func TestNodeSettings(t *testing.T) {
	n, err := config.ParseNode("s.yaml", []byte(nodeSettings))
	assert.NilError(t, err)
	assert.NilError(t, n.CheckGateway("s.yaml"))
	assert.ErrorContains(t, n.CheckAgent("s.yaml"), "server")
	assert.DeepEqual(t, n.MeshSeeds(), []string{"10.0.0.2:7180", "10.0.0.3:7180"})
	assert.Equal(t, n.Bounds.RevokeBound(), 4*time.Second)
	assert.Equal(t, n.Bounds.Grace(), 8*time.Second)
	assert.DeepEqual(t, n.Zones, map[string]string{"z": "r1", "y": "r2"})
}

func TestNodeSettingsNameTheBadField(t *testing.T) {
	cases := map[string]string{
		nodeSettings + "colour: red\n":                      "s.yaml:11: colour",
		nodeSettings + "  retry_ratio: 3\n":                 "s.yaml:11: bounds.retry_ratio",
		nodeSettings + "metrics: \"here\"\n":                "s.yaml:11: metrics",
		"name: \"gw\"\nmesh: \"10.0.0.1:7180\"\n":           "zone",
		nodeSettings + "memory_mb: \"plenty\"\n":            "s.yaml:11",
		nodeSettings + "link_mbps: -1\n":                    "s.yaml:11: link_mbps",
		nodeSettings + "max_procs: -1\n":                    "s.yaml:11: max_procs",
		nodeSettings + "  grace_s: -1\n":                    "s.yaml:11: bounds.grace_s",
		nodeSettings + "server: \"10.0.0.1:\"\n":            "s.yaml:11: server",
		nodeSettings + "  retry_window_s: -10\n":            "s.yaml:11: bounds.retry_window_s",
		nodeSettings + "  evacuate_ms: -1\n":                "s.yaml:11: bounds.evacuate_ms",
		nodeSettings + "  retry_free: -1\n":                 "s.yaml:11: bounds.retry_free",
		nodeSettings + "  revoke_ms: 3\n":                   "s.yaml:11: revoke_ms",
		nodeSettings + "  cold_overshoot: -1\n":             "s.yaml:11: bounds.cold_overshoot",
		nodeSettings + "  cold_slack: .nan\n":               "s.yaml:11: bounds.cold_slack",
		"name: [\n":                                         "s.yaml:",
		"name: \"gw\"\nzone: \"z\"\nmesh: \"nope\"":         "s.yaml:3: mesh",
		nodeSettings + "memory:\n  share: 1.5\n":            "memory.share",
		nodeSettings + "memory:\n  share: .nan\n":           "memory.share",
		nodeSettings + "memory:\n  connection_bytes: -1\n":  "memory.connection_bytes",
		nodeSettings + "memory:\n  headers: -0.1\n":         "memory.headers",
		nodeSettings + "memory:\n  headers: .nan\n":         "memory.headers",
		nodeSettings + "max_fds: -1\n":                      "s.yaml:11: max_fds",
		nodeSettings + "mesh_peers: -1\n":                   "s.yaml:11: mesh_peers",
		nodeSettings + "connections:\n  callers: -1\n":      "connections.callers",
		nodeSettings + "connections:\n  control: 2000000\n": "connections.control",
	}
	for text, want := range cases {
		_, err := config.ParseNode("s.yaml", []byte(text))
		assert.ErrorContains(t, err, want)
	}
}

// Without a stated memory, or without settings for it, what a gateway holds is bounded too.
func TestHeldMemoryHasDefaults(t *testing.T) {
	for text, want := range map[string]int64{
		nodeSettings:                      64 << 20,
		nodeSettings + "memory_mb: 184\n": 46 << 20,
		nodeSettings + "memory_mb: 184\nmemory:\n  share: 1\n": 184 << 20,
	} {
		n, err := config.ParseNode("s.yaml", []byte(text))
		assert.NilError(t, err)
		assert.Equal(t, n.HeldBytes(), want)
		assert.Equal(t, n.Memory.ConnectionBytes, int64(256<<10))
	}
}

// The connections of callers must leave memory and descriptors for everything else.
func TestCallerConnectionsFollowTheMachine(t *testing.T) {
	for _, c := range []struct {
		settings    string
		descriptors int
		want        int
	}{
		{"memory_mb: 284\nmax_fds: 8192\n", 20000, 1817},
		{"memory_mb: 284\nmax_fds: 4100\n", 20000, 1640},
		{"memory_mb: 1024\nmax_fds: 4100\n", 20000, 1640},
		{"memory_mb: 1024\n", 1000, 400},
		{"memory_mb: 1024\nmax_fds: 4100\n", 1000, 400},
		{"", 0, 16384},
		{"memory_mb: 1\n", 0, 64},
		{"connections:\n  callers: 9\n", 1000, 9},
	} {
		n, err := config.ParseNode("s.yaml", []byte(nodeSettings+c.settings))
		assert.NilError(t, err)
		assert.Equal(t, n.CallerConnections(c.descriptors), c.want, c.settings)
		assert.Equal(t, n.Connections.Control, 64)
	}
}
