package backends

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A server whose properties are out of range, because another writer has published it, must not
// be used.
func TestServersOutOfRangeAreInvalid(t *testing.T) {
	valid := func() Server {
		return Server{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 4, Group: Group{Name: "g", Epoch: 1, Rank: 3, Size: 4}}
	}
	usable := map[string]func(s *Server){
		"as published":       func(*Server) {},
		"host name":          func(s *Server) { s.Address = "server.example:8080" },
		"IPv6":               func(s *Server) { s.Address = "[fd00::1]:8080" },
		"plain server":       func(s *Server) { s.Group = Group{} },
		"size not published": func(s *Server) { s.Group.Size = 0 },
	}
	for name, change := range usable {
		s := valid()
		change(&s)
		assert.NilError(t, s.Validate(), name)
	}
	invalid := map[string]func(s *Server){
		"no ID":            func(s *Server) { s.ID = "" },
		"line break in ID": func(s *Server) { s.ID = "a\r\nb" },
		"no service":       func(s *Server) { s.Service = "" },
		"no port":          func(s *Server) { s.Address = "10.0.0.1" },
		"port 0":           func(s *Server) { s.Address = "10.0.0.1:0" },
		"port 65536":       func(s *Server) { s.Address = "10.0.0.1:65536" },
		"named port":       func(s *Server) { s.Address = "10.0.0.1:http" },
		"no host":          func(s *Server) { s.Address = ":80" },
		"slots":            func(s *Server) { s.Slots = 1 << 40 },
		"negative slots":   func(s *Server) { s.Slots = -1 },
		"start":            func(s *Server) { s.Started = 1 << 62 },
		"size":             func(s *Server) { s.Group.Size = 1 << 40 },
		"rank":             func(s *Server) { s.Group.Rank = 4 },
		"negative rank":    func(s *Server) { s.Group.Rank = -1 },
	}
	for name, change := range invalid {
		s := valid()
		change(&s)
		assert.Assert(t, s.Validate() != nil, name)
	}
}
