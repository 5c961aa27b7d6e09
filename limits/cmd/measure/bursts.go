package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bluebellwind.example/limits"
	"bluebellwind.example/limits/internal/fleet"
)

// writeBurstTable writes the table of the admitted share of Poisson arrivals,
// for organisations with different limits that send less or more than their
// limit.
func writeBurstTable(b *strings.Builder) {
	rates := []float64{0.02, 0.1, 0.5, 2, 10, 50, 500}
	loads := []float64{0.8, 1.5}
	fmt.Fprintln(b, "\n## Ordinary bursts")
	fmt.Fprintf(b, "\nPoisson arrivals spread over all entries, %s to settle and %s measured. Under the limit the figures are admitted over sent, over it admitted over the limit.\n", burstSettleTime, burstMeasuredTime)
	fmt.Fprintln(b, "\n| entries | limit, requests/s | at 80% of the limit: admitted / sent | at 150%: admitted / limit |\n|---|---|---|---|")
	for _, entries := range []int{8, 330} {
		var orgs []*fleet.Organisation
		var table []limits.Limit
		for _, r := range rates {
			for _, load := range loads {
				name := fmt.Sprintf("%v at %v", r, load)
				orgs = append(orgs, &fleet.Organisation{Name: name, Rate: r * load, Cost: limits.Cost{Requests: 1}, EndEntry: entries})
				table = append(table, limits.Limit{Organisation: name, Requests: r})
			}
		}
		f := fleet.New(entries, orgs, table, seed)
		f.Run(burstSettleTime, false)
		admitted, sent := slices.Clone(f.Admitted), slices.Clone(f.Sent)
		f.Run(burstMeasuredTime, false)
		for i, r := range rates {
			under, over := 2*i, 2*i+1
			fmt.Fprintf(b, "| %d | %v | %.4f | %.3f |\n", entries, r,
				float64(f.Admitted[under]-admitted[under])/float64(f.Sent[under]-sent[under]),
				float64(f.Admitted[over]-admitted[over])/r/burstMeasuredTime.Seconds())
		}
	}
}

const (
	// burstSettleTime is simulated before the measurement starts.
	burstSettleTime = 4 * time.Minute
	// burstMeasuredTime is the measured time.
	burstMeasuredTime = 6 * time.Minute
)
