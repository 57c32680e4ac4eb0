package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// errUnreachable means that a request reached no instance, or that a query got
// no answer.
var errUnreachable = errors.New("no instance answered")

// Caller holds the options that all commands of callers share.
type Caller struct {
	Target
	Format
	Key     string        `arg:"--key,env:GREENGAGEWALL_KEY" help:"key of the team; not needed for queues open to all"`
	Timeout time.Duration `arg:"--timeout" default:"30s" help:"time for the whole command"`
}

// response is a reply with a 2xx status.
type response struct {
	header http.Header
	body   []byte
}

// request is an HTTP request to an entry instance.
type request struct {
	method, path string
	// key is the value of the Idempotency-Key header; empty omits the header.
	key  string
	body []byte
}

// exchange sends a request and reads the reply. Its errors are errUnreachable
// or a *modeler.Refusal.
func (c *Caller) exchange(ctx context.Context, env Env, r request) (response, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, strings.TrimSuffix(c.Server, "/")+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, modeler.NotRun(modeler.CodeBadRequest, 0, "--server: %v", err)
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	resp, err := env.Client.Do(req)
	if err != nil {
		return response{}, transportError(r.method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, transportError(r.method, err)
	}
	if resp.StatusCode/100 != 2 {
		return response{}, refusal(r.method, resp.Status, body)
	}

	return response{header: resp.Header, body: body}, nil
}

// transportError classifies a failed exchange: a *modeler.Refusal with an
// unknown outcome if the request may have taken effect, else errUnreachable.
func transportError(method string, err error) error {
	var refused *modeler.Refusal
	if errors.As(transportRefusal(method, err), &refused) && refused.Outcome == modeler.OutcomeUnknown {
		return refused
	}

	return errors.Wrap(errUnreachable, err.Error())
}

// query sends a GET request and decodes the reply into value.
func (c *Caller) query(ctx context.Context, env Env, path string, value any) error {
	answer, err := c.exchange(ctx, env, request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}

	return errors.Wrap(json.Unmarshal(answer.body, value), "decode answer")
}

// withTimeout checks the output format and limits ctx to the timeout.
func (c *Caller) withTimeout(ctx context.Context) (context.Context, context.CancelFunc, error) {
	if err := c.check(); err != nil {
		return ctx, func() {}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)

	return ctx, cancel, nil
}
