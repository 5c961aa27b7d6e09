// Package platform is a read-only client of the platform's configuration service
// and instance list.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// maxResponseBytes bounds the size of a response, in bytes. It is larger than the
	// largest value of the configuration service, to allow for JSON escapes.
	maxResponseBytes = 8 << 20
	// maxHeaderBytes bounds the header of a response, in bytes.
	maxHeaderBytes = 64 << 10
	// watchTimeout is how long the configuration service holds a watch request before
	// it answers with the unchanged value.
	watchTimeout = 30 * time.Second
)

// Value is a value of the configuration service at one revision.
type Value struct {
	Revision int64  `json:"revision"`
	Value    string `json:"value"`
}

// Values of Instance.Role.
const (
	RoleEntry  = "entry"
	RoleServer = "server"
)

// Instance is one element of the instance list. The list lags behind the actual
// state of the instances.
type Instance struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region,omitempty"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Group   string `json:"group,omitempty"`
	Service string `json:"service,omitempty"`
	// Ranks are the ranks of Group that the backend server hosts.
	Ranks   []int `json:"ranks,omitempty"`
	Leaving bool  `json:"leaving,omitempty"`
}

// InstanceList is the complete instance list at one revision.
type InstanceList struct {
	Revision  int64      `json:"revision"`
	Instances []Instance `json:"instances"`
}

// Client reads from the platform. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the platform at baseURL.
func NewClient(baseURL string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return &Client{baseURL: baseURL, http: &http.Client{Transport: transport, Timeout: watchTimeout + 5*time.Second}}
}

// Fetch returns the value under key.
func (c *Client) Fetch(ctx context.Context, key string) (Value, error) {
	var value Value
	err := c.get(ctx, "/v1/config/"+url.PathEscape(key), nil, &value)
	return value, err
}

// Watch returns the value under key as soon as its revision differs from after.
// If it does not change within watchTimeout, Watch returns the unchanged value.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Value, error) {
	var value Value
	err := c.get(ctx, "/v1/config/"+url.PathEscape(key), watchQuery(after), &value)
	return value, err
}

// Instances returns the instance list.
func (c *Client) Instances(ctx context.Context) (InstanceList, error) {
	var list InstanceList
	err := c.get(ctx, "/v1/instances", nil, &list)
	return list, err
}

func watchQuery(after int64) url.Values {
	return url.Values{
		"after": {strconv.FormatInt(after, 10)},
		"wait":  {watchTimeout.String()},
	}
}

// get requests path and decodes the JSON response into out.
func (c *Client) get(ctx context.Context, path string, query url.Values, out any) error {
	requestURL := c.baseURL + path
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("platform: %s: status %d", path, res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("platform: %s: %w", path, err)
	}
	if err := json.Unmarshal(pruneDeep(body), out); err != nil {
		return fmt.Errorf("platform: %s: %w", path, err)
	}
	return nil
}
