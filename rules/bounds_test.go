package rules

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The size of the largest deployment that the package is designed for.
const (
	designOrganisations = 2200
	designModels        = 20
	designRoutes        = 300
)

// designSizeText returns a rules file of the design size. Each route by model names
// 20 organisations, except the last ones, which match all organisations.
func designSizeText() string {
	var b strings.Builder
	for i := range designOrganisations {
		fmt.Fprintf(&b, "organisation org-%d token sha256:%064x limit 5 requests/s 1000 tokens/s # asked for by t: target\n", i, i)
	}
	b.WriteString("service pledges # asked for by t\n")
	for m := range designModels {
		fmt.Fprintf(&b, "group g%d models model-%d,model-x # asked for by t\n", m, m)
	}
	for i := range designRoutes - designModels {
		names := make([]string, 20)
		for j := range names {
			names[j] = fmt.Sprintf("org-%d", (i*7+j*110)%designOrganisations)
		}
		m := i % designModels
		fmt.Fprintf(&b, "route model model-%d organisation %s class batch to group g%d # asked for by t\n", m, strings.Join(names, ","), m)
		fmt.Fprintf(&b, "route POST /pledges/%d/* to service pledges once # asked for by t\n", i)
	}
	for m := range designModels {
		fmt.Fprintf(&b, "route model model-%d to group g%d # asked for by t\n", m, m)
	}
	return b.String()
}

// costlyTexts returns texts, most of about the maximum size, that are costly for
// the parser in different ways.
func costlyTexts() map[string]string {
	line := func(format string, args ...any) string {
		return fmt.Sprintf(format, args...) + " # asked for by t\n"
	}
	var names, models []string
	for i := range maxListItems {
		names, models = append(names, fmt.Sprintf("o%d", i)), append(models, fmt.Sprintf("m%d", i))
	}
	var defined, allPairs, pathsUnderRoot, nestedPaths, manyTargets strings.Builder
	for i, n := range names {
		defined.WriteString(line("organisation %s token sha256:%064x", n, i))
	}
	defined.WriteString(line("group g models %s", strings.Join(models, ",")) + line("service s"))
	allPairs.WriteString(defined.String())
	for allPairs.Len() < MaxFileBytes-MaxLineBytes {
		allPairs.WriteString(line("route model %s organisation %s to group g", strings.Join(models, ","), strings.Join(names, ",")))
	}
	pathsUnderRoot.WriteString(defined.String() + line("route any /* organisation %s to service s", strings.Join(names, ",")))
	nestedPaths.WriteString(defined.String())
	for i := range MaxRoutes - 1 {
		pathsUnderRoot.WriteString(line("route any /%d* to service s", i))
		if nestedPaths.Len() < MaxFileBytes-MaxLineBytes {
			nestedPaths.WriteString(line("route any /%s* organisation o1,o2 to service s", strings.Repeat("a", i%500)))
		}
	}
	for i := range 4000 {
		manyTargets.WriteString(line("service s%d carries 1 requests/s", i) + line("route GET /%d to service s%d", i, i))
		manyTargets.WriteString(line("organisation o%d token sha256:%064x limit 9 requests/s", i, i))
		if i%40 == 0 {
			manyTargets.WriteString(line("service t%d carries 1 requests/s", i) + line("route GET / organisation o%d to service t%d", i, i))
		}
	}
	return map[string]string{
		"many targets":   manyTargets.String(),
		"newlines":       strings.Repeat("\n", MaxFileBytes),
		"short words":    strings.Repeat("x\n", MaxFileBytes/2),
		"one line":       strings.Repeat("x ", MaxFileBytes/2),
		"not UTF-8":      strings.Repeat("\xff\n", MaxFileBytes/2),
		"unknown names":  defined.String() + strings.Repeat(line("route model m organisation o10x to group gg"), 10_000),
		"every pair":     allPairs.String(),
		"paths under /":  pathsUnderRoot.String(),
		"nested paths":   nestedPaths.String(),
		"target's size":  designSizeText(),
		"just too large": strings.Repeat("\n", MaxFileBytes+1),
	}
}

// maxParseAllocBytes is the maximum number of bytes that one Parse may allocate in
// total, including memory that is freed. A node has 64 MB for two sets and one
// Parse.
const maxParseAllocBytes = 32 << 20

func TestParseIsBounded(t *testing.T) {
	for name, text := range costlyTexts() {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		s, problems := Parse("f", []byte(text))
		runtime.ReadMemStats(&after)
		allocated := after.TotalAlloc - before.TotalAlloc
		t.Logf("%-15s %8d bytes: usable %v, %3d problems, %.1f MB allocated", name, len(text), s != nil, len(problems), float64(allocated)/(1<<20))
		assert.Assert(t, allocated < maxParseAllocBytes, name)
		assert.Assert(t, len(problems) <= 2*MaxProblems+2, name)
	}
}

func BenchmarkParse(b *testing.B) {
	for name, text := range costlyTexts() {
		b.Run(strings.ReplaceAll(name, " ", "-"), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				Parse("f", []byte(text))
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	s, _ := Parse("f", []byte(designSizeText()))
	requests := map[string]Request{
		"model": {Model: "model-7", Organisation: "org-997", Class: Batch},
		"path":  {Method: "POST", Path: "/pledges/279/seedlings", Organisation: "org-997"},
	}
	for name, q := range requests {
		b.Run(name+"/index", func(b *testing.B) {
			for b.Loop() {
				s.Decide(q)
			}
		})
		b.Run(name+"/scan", func(b *testing.B) {
			for b.Loop() {
				decideByScan(s, q)
			}
		})
	}
}

func BenchmarkDiff(b *testing.B) {
	old, _ := Parse("f", []byte(designSizeText()))
	next, _ := Parse("f", []byte(strings.Replace(designSizeText(), "route model model-7 to group g7 ", "route model model-7 to group g7 once ", 1)))
	for b.Loop() {
		Diff(old, next)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	s, _ := Parse("f", []byte(designSizeText()))
	for b.Loop() {
		s.Authenticate("demo-oakville-schools")
	}
}

// BenchmarkSetMemory reports the heap memory that one Set of the design size
// retains.
func BenchmarkSetMemory(b *testing.B) {
	var before, after runtime.MemStats
	text := []byte(designSizeText())
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, _ := Parse("f", text)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes/set")
	b.ReportMetric(float64(len(text)), "bytes/file")
}
