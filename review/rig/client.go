package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Get sends a GET request on a new connection and returns the status and the body.
func Get(address, path string) (int, string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}
