package rankctl

// AllowRedial lets every session dial again after its connection is lost, as a
// plain HTTP client does.
func (c *Client) AllowRedial() { c.allowRedial = true }
