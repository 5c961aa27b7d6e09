// Command measure writes the tables of docs/measure/membership: the traffic, CPU
// time and memory that membership costs an instance, and the time until all
// instances know of a change. It runs all nodes of a simulated fleet in one
// process.
package main

import (
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"bluebellwind.example/membership"
)

func main() {
	out := flag.String("out", "out", "output directory for the tables")
	full := flag.Bool("full", false, "also measure the target fleet size of 330 entries and 760 agents")
	flag.Parse()
	var b strings.Builder
	fmt.Fprintln(&b, "# Membership: what it costs and how fast news spreads")
	fmt.Fprintf(&b, "\nCommand: `go run ./membership/cmd/measure -full -out docs/measure/membership`. Seeded, %d zones, one process, real encoding; bytes are sent and received together, %d for each message added. CPU is of the whole process over all instances.\n", zoneCount, messageOverheadBytes)
	fmt.Fprintln(&b, "\n| entries | agents | entry bytes/s mean | busiest entry | agent bytes/s mean | busiest agent | largest message | CPU an instance, % of a core | heap an instance, KB | new revision everywhere, s | leaving mark at all entries, s |")
	fmt.Fprintln(&b, "|---|---|---|---|---|---|---|---|---|---|---|")
	sizes := [][2]int{{8, 19}, {42, 97}, {83, 190}, {165, 380}}
	if *full {
		sizes = append(sizes, [2]int{330, 760})
	}
	for _, size := range sizes {
		if err := writeSizeRow(&b, size[0], size[1]); err != nil {
			log.Fatal(err)
		}
	}
	if err := writePartitionRows(&b, 42, 97); err != nil {
		log.Fatal(err)
	}
	if err := os.MkdirAll(*out, 0o755); err != nil {
		log.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(*out, "membership.md"), []byte(b.String()), 0o644); err != nil {
		log.Fatal(err)
	}
	fmt.Print(b.String())
}

// writeSizeRow measures a fleet of the given size and writes one row of the size
// table. It lets the fleet settle for 45 s before the measurement.
func writeSizeRow(b *strings.Builder, entries, agents int) error {
	s, err := newSimulation(entries, agents)
	if err != nil {
		return err
	}
	s.offerRevision(0, 1)
	s.advance(45*time.Second, nil)
	s.resetTraffic()
	cpuBefore := cpuTime()
	const measuredSeconds = 30
	s.advance(measuredSeconds*time.Second, nil)
	cpuFraction := (cpuTime() - cpuBefore).Seconds() / measuredSeconds / float64(entries+agents)
	entry, agent := s.byteRateOf(membership.Entry, measuredSeconds), s.byteRateOf(membership.Agent, measuredSeconds)
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	heapKB := float64(memory.HeapAlloc) / 1024 / float64(entries+agents)
	s.offerRevision(entries-1, 2)
	revisionDelay := s.advance(30*time.Second, func() bool { return s.countWithRevision(2) == len(s.nodes) })
	leaver := s.nodes[entries+agents-1]
	if err := leaver.node.Leave(); err != nil {
		return err
	}
	s.runQueued()
	leavingDelay := s.advance(30*time.Second, func() bool { return s.allEntriesKnowLeaving() })
	fmt.Fprintf(b, "| %d | %d | %.0f | %.0f | %.0f | %.0f | %d | %.2f | %.0f | %.2f | %.2f |\n",
		entries, agents, entry.mean, entry.busiest, agent.mean, agent.busiest, s.largestMessageBytes, 100*cpuFraction, heapKB, revisionDelay.Seconds(), leavingDelay.Seconds())
	return nil
}

// offerRevision offers the i-th instance a generated revision of about rulesBytes,
// as if it had read it from the configuration service.
func (s *simulation) offerRevision(i int, number int64) {
	rng := rand.New(rand.NewPCG(uint64(number), 5))
	var text strings.Builder
	for text.Len() < rulesBytes {
		fmt.Fprintf(&text, "organisation school-%d may use %d requests/s on model-%d # asked by crew %d\n", rng.IntN(2200), rng.IntN(500), rng.IntN(20), rng.IntN(100))
	}
	_, _ = s.nodes[i].node.OfferRevision(membership.NewRevision(number, []byte(text.String())))
	s.runQueued()
}

// countWithRevision returns the number of instances whose current revision has
// the given number.
func (s *simulation) countWithRevision(number int64) int {
	count := 0
	for _, n := range s.nodes {
		if n.store.Current().Number == number {
			count++
		}
	}
	return count
}

// allEntriesKnowLeaving reports whether every entry knows a leaving mark.
func (s *simulation) allEntriesKnowLeaving() bool {
	for _, n := range s.nodes {
		if n.instance.Role == membership.Entry && len(n.node.Snapshot(membership.KindLeaving)) == 0 {
			return false
		}
	}
	return true
}

// writePartitionRows measures two network partitions: first one zone is
// separated from the others, then two groups of zones (regions) are separated
// for an hour.
func writePartitionRows(b *strings.Builder, entries, agents int) error {
	fmt.Fprintf(b, "\n## Cuts, at %d entries and %d agents\n\n| case | figure |\n|---|---|\n", entries, agents)
	s, err := newSimulation(entries, agents)
	if err != nil {
		return err
	}
	s.offerRevision(0, 1)
	s.advance(60*time.Second, nil)
	s.partitioned = func(a, c membership.Instance) bool { return (a.Zone == "zone-0") != (c.Zone == "zone-0") }
	noticedAfter := s.advance(120*time.Second, func() bool { return s.aliveAtMost(1, (entries+agents)*7/8) })
	fmt.Fprintf(b, "| zone cut: an entry outside counts it out after | %.1f s |\n", noticedAfter.Seconds())
	s.offerRevision(1, 2)
	s.advance(8*time.Second, nil)
	inside := 0
	for _, n := range s.nodes {
		if n.instance.Zone == "zone-0" {
			inside++
		}
	}
	fmt.Fprintf(b, "| zone cut: instances with a new revision 8 s after it, of %d outside | %d |\n", len(s.nodes)-inside, s.countWithRevision(2))
	s.partitioned = nil
	healedAfter := s.advance(120*time.Second, func() bool { return s.countWithRevision(2) == len(s.nodes) })
	fmt.Fprintf(b, "| zone healed: revision in force everywhere after | %.1f s |\n", healedAfter.Seconds())
	s.partitioned = func(a, c membership.Instance) bool { return (a.Zone < "zone-4") != (c.Zone < "zone-4") }
	s.advance(time.Hour, nil)
	s.offerRevision(0, 3)
	s.advance(8*time.Second, nil)
	s.partitioned = nil
	healedAfter = s.advance(120*time.Second, func() bool { return s.countWithRevision(3) == len(s.nodes) })
	fmt.Fprintf(b, "| regions healed after an hour: newer revision in force everywhere after | %.1f s |\n", healedAfter.Seconds())
	complete := healedAfter + s.advance(240*time.Second, func() bool { return s.allAlive(entries, entries+agents) })
	fmt.Fprintf(b, "| regions healed: every entry knows all instances as alive after | %.1f s |\n", complete.Seconds())
	return nil
}

// aliveAtMost reports whether the i-th instance sees at most limit live
// instances.
func (s *simulation) aliveAtMost(i, limit int) bool { return len(s.nodes[i].node.Alive()) <= limit }

// allAlive reports whether each of the entries sees at least total live
// instances.
func (s *simulation) allAlive(entries, total int) bool {
	for _, n := range s.nodes[:entries] {
		if len(n.node.Alive()) < total {
			return false
		}
	}
	return true
}
