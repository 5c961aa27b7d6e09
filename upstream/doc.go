// Package upstream sends HTTP/1.1 requests to backend servers.
//
// Unlike http.Transport it never sends a request again by itself and says of
// each failure whether the server may have seen the request. A connection
// carries one request at a time; one that is left with unread or foreign bytes
// is closed.
package upstream
