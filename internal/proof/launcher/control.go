package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/standin/worker"
)

// controlTimeout bounds a control request.
const controlTimeout = 10 * time.Second

// Get decodes the answer to a GET request.
func Get(ctx context.Context, address netip.AddrPort, path string, out any) error {
	return send(ctx, http.MethodGet, address, path, nil, out)
}

// Post sends a JSON request; in and out may be nil.
func Post(ctx context.Context, address netip.AddrPort, path string, in, out any) error {
	return send(ctx, http.MethodPost, address, path, in, out)
}

// Put sends a JSON request.
func Put(ctx context.Context, address netip.AddrPort, path string, in, out any) error {
	return send(ctx, http.MethodPut, address, path, in, out)
}

func send(ctx context.Context, method string, address netip.AddrPort, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, &body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s %s: %s: %s", method, path, resp.Status, bytes.TrimSpace(data))
	}
	if out == nil {
		return nil
	}

	return json.Unmarshal(data, out)
}

// Ledgers returns the events of all endpoints.
func (c *Cluster) Ledgers(ctx context.Context) ([]worker.Event, error) {
	var all []worker.Event
	for _, host := range c.Hosts {
		var events []worker.Event
		if err := Get(ctx, host.Control, "/control/ledger", &events); err != nil {
			return nil, err
		}
		all = append(all, events...)
	}

	return all, nil
}

// AwaitReady waits until every entry instance is ready.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for _, entry := range c.Entries {
		var err error
		for ctx.Err() == nil {
			if err = Get(ctx, entry.Listen, "/readyz", nil); err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if err != nil {
			return errors.Wrapf(err, "%s is not ready", entry.Name)
		}
	}

	return nil
}
