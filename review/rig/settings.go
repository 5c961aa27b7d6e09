package rig

import (
	"fmt"
	"strings"
)

// Settings are the values of deploy/settings.yaml that differ between processes. All else is
// as in a small deployment.
type Settings struct {
	Name, IP, Store, Seed string
	MeshPort              int
	// Callers and Ready are set for a gateway.
	Callers, Ready string
	// Server and Service are set for a rank agent.
	Server, Service string
}

// YAML returns the settings as deploy/settings.yaml renders them.
func (s Settings) YAML() string {
	var b strings.Builder
	memory, link := 284, 1000.0
	if s.Server != "" {
		memory, link = 152, 20.0
	}
	fmt.Fprintf(&b, "name: %q\nzone: \"zone-1\"\nregion: \"region-1\"\nzones: {\"zone-1\":\"region-1\"}\n", s.Name)
	fmt.Fprintf(&b, "mesh: \"%s:%d\"\nmetrics: \"%s:0\"\nseeds: [\"%s\"]\nstore: \"%s\"\n", s.IP, s.MeshPort, s.IP, s.Seed, s.Store)
	if s.Callers != "" {
		fmt.Fprintf(&b, "callers: \"%s\"\nready: \"%s\"\n", s.Callers, s.Ready)
	}
	if s.Server != "" {
		fmt.Fprintf(&b, "server: \"%s\"\nservice: \"%s\"\n", s.Server, s.Service)
	}
	fmt.Fprintf(&b, "memory_mb: %d\nmax_procs: 1\nlink_mbps: %.1f\nmemory:\n  connection_bytes: 262144\n  share: 0.25\n", memory, link)
	b.WriteString("bounds:\n  revoke_ms: 5000\n  retry_ratio: 0.2\n  retry_free: 94\n  retry_window_s: 10\n  grace_s: 8\n")
	return b.String()
}
