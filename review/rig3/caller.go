package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is what a caller sends.
type call struct {
	label, method, target string
	key                   string
	body                  string
	deadline              time.Duration
	header                map[string]string
}

const host = "ficu95.example"

// send sends a call to a gateway on a new connection, and records what comes back.
func (r *rig) send(g *gateway, c call) attempt {
	id := fmt.Sprintf("%016x", rand.Uint64())
	a := r.ledger.send(id, c.label, r.lastStart)
	r.record("request %s (%s): %s %s is sent to %s", id, c.label, c.method, c.target, g.name)
	outcome := exchange(g.callers, id, c)
	r.ledger.answer(a, outcome)
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	return *a
}

// exchange sends the call and returns the status of the whole answer, or what else happened.
func exchange(address, id string, c call) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Bluebellwind-Deadline-Remaining: %d\r\n", c.method, c.target, host, headerAttempt, id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&head, "%s: %s\r\n", headerKey, c.key)
	}
	for name, value := range c.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(c.body))
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"+c.body); err != nil {
		return "a closed connection"
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return "no answer"
	}
	_, err = io.ReadAll(response.Body)
	if err != nil {
		return strconv.Itoa(response.StatusCode) + ", broken off"
	}
	return strconv.Itoa(response.StatusCode)
}
