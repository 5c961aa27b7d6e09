package rules

import (
	"bytes"
	"strings"
	"testing"
)

// FuzzParse checks properties that hold for every text: a Set is returned if and
// only if there is no error, problems are bounded and well-formed, Decide agrees
// with a scan of the routes, and a file does not differ from itself. Seeds are in
// testdata/fuzz.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallFile))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, problems := Parse("f", text)
		if (s == nil) != HasErrors(problems) {
			t.Fatalf("set %v, problems %v", s, problems)
		}
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, p := range problems {
			if p.Line < 1 || p.Line > lines || p.Field == "" || p.Message == "" || strings.ContainsAny(p.String(), "\r\n\x00") {
				t.Fatalf("%+v", p)
			}
		}
		if len(problems) > 2*MaxProblems+2 {
			t.Fatalf("%d problems", len(problems))
		}
		if s == nil {
			return
		}
		for i := range s.Routes {
			q := Request{Method: s.Routes[i].Method, Path: s.Routes[i].Path, Class: s.Routes[i].Class}
			if len(s.Routes[i].Models) > 0 {
				q = Request{Model: s.Routes[i].Models[0]}
			}
			want, wantOK := decideByScan(s, q)
			if got, ok := s.Decide(q); got != want || ok != wantOK {
				t.Fatalf("%v: got %v, want %v", q, got, want)
			}
		}
		if changes := Diff(s, s); len(changes) > 0 {
			t.Fatalf("differs from itself: %v", changes)
		}
	})
}
