package lister

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// Client changes a list through its HTTP control interface.
type Client struct {
	address netip.AddrPort
}

// NewClient returns a client of the list server at address.
func NewClient(address netip.AddrPort) *Client { return &Client{address: address} }

// Put adds or replaces instances.
func (c *Client) Put(ctx context.Context, instances ...modeler.Instance) error {
	body, err := json.Marshal(instances)
	if err != nil {
		return err
	}

	return c.send(ctx, http.MethodPost, "/control/instances", body)
}

// Remove removes an instance.
func (c *Client) Remove(ctx context.Context, id modeler.InstanceID) error {
	return c.send(ctx, http.MethodDelete, "/control/instances/"+url.PathEscape(string(id)), nil)
}

// send sends a control request and returns an error unless the answer is 200.
func (c *Client) send(ctx context.Context, method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("instance list answered %s", resp.Status)
	}

	return nil
}
