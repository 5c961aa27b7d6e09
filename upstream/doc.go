// Package upstream sends HTTP/1.1 requests to backend servers.
//
// Unlike http.Transport, it never retries a request by itself, and it reports for
// each failure whether the server may have seen the request. A connection carries
// one request at a time. A connection with unread bytes, or with bytes that belong
// to no request in progress, is closed.
package upstream
