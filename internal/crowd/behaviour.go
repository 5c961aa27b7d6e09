package crowd

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Behaviour is what each member of a crowd does on its connection.
type Behaviour struct {
	Name string
	// First is written once, and then Repeated again and again with Pause between the writes.
	// Without Repeated the member waits until the process closes the connection.
	First, Repeated string
	Pause           time.Duration
	// ReadsNothing says that the member never reads what the process answers.
	ReadsNothing bool
}

const (
	// longHeadBytes is the size of a head that is longer than any limit of the processes.
	longHeadBytes = 60 << 10
	// allowedHeadBytes is the size of a head that the configuration of the tests allows.
	allowedHeadBytes = 15 << 10
	tricklePause     = 200 * time.Millisecond
)

// ShortLines returns lines of a head with different names that are as short as possible, of
// size bytes at most. A process holds many times their size once it has parsed them.
func ShortLines(size int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len()+6 <= size; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", digits[i%26], digits[i/26%36], digits[i/26/36%36])
	}
	return b.String()
}

// HTTP returns the behaviours of callers of an HTTP/1.1 address. target is a path that it
// serves at host, and header the lines that make a request one that is served.
func HTTP(host, target, header string) []Behaviour {
	get := "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + header
	post := "POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + header
	lacking := "GET /none/ HTTP/1.1\r\nHost: " + host + "\r\n\r\n"
	return []Behaviour{
		{Name: "long lines without end", First: get, Repeated: "X-Filler: " + strings.Repeat("x", 4000) + "\r\n"},
		{Name: "one line without end", First: get + "X-Filler: ", Repeated: strings.Repeat("x", 4096)},
		{Name: "short lines without end", First: get, Repeated: ShortLines(longHeadBytes)},
		{Name: "empty lines without end", Repeated: strings.Repeat("\r\n", 2048)},
		{Name: "empty lines after a request", First: get + "\r\n", Repeated: strings.Repeat("\r\n", 2048)},
		{Name: "short lines that stop", First: get + ShortLines(longHeadBytes)},
		{Name: "allowed head that stops", First: get + ShortLines(allowedHeadBytes)},
		{Name: "whole head that waits", First: post + "Content-Length: 100000\r\n" + ShortLines(longHeadBytes) + "\r\n"},
		{Name: "allowed head that waits", First: post + "Content-Length: 100000\r\n" + ShortLines(allowedHeadBytes) + "\r\n"},
		{Name: "head in small pieces", First: get, Repeated: "a", Pause: tricklePause},
		{Name: "body in small pieces", First: post + "Content-Length: 100000\r\n\r\n", Repeated: "a", Pause: tricklePause},
		{Name: "body that stops", First: post + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 900_000)},
		{Name: "chunks without end", First: post + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		{Name: "silence"},
		{Name: "many requests, no reading", Repeated: strings.Repeat(lacking, 64), ReadsNothing: true},
		{Name: "served requests, no reading", Repeated: strings.Repeat(get+"\r\n", 16), ReadsNothing: true},
	}
}

// ShortHTTP returns some of the behaviours of HTTP, one of each kind.
func ShortHTTP(host, target string) []Behaviour {
	kinds := map[string]bool{
		"short lines without end": true, "whole head that waits": true, "head in small pieces": true, "silence": true,
		"served requests, no reading": true,
	}
	return slices.DeleteFunc(HTTP(host, target, ""), func(b Behaviour) bool { return !kinds[b.Name] })
}
