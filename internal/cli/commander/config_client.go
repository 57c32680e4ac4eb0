// Package commander implements the subcommands of greengagewall.
package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// operatorHeader is the header that names the operator of a publication for the
// audit trail.
const operatorHeader = "Greengagewall-Operator"

// maxResponseBytes bounds the body of a reply; exports of records are the
// largest.
const maxResponseBytes = 1 << 30

// Env holds the outputs, the HTTP client and the clock that a command uses.
type Env struct {
	Out, Err io.Writer
	Client   *http.Client
	Now      func() time.Time
	// Sleep waits for a duration or until ctx is done.
	Sleep func(ctx context.Context, pause time.Duration)
}

// Target holds the address of the entry instance that receives a command's requests.
type Target struct {
	Server string `arg:"--server,env:GREENGAGEWALL_SERVER" default:"http://127.0.0.1:8080" help:"URL of an entry instance or of the load balancer"`
}

// OperatorKey holds the key of an operator.
type OperatorKey struct {
	Key string `arg:"--key,env:GREENGAGEWALL_KEY" help:"key of the operator; needed once the document in force has operators"`
}

// currentConfig is the reply to GET and PUT /v1/config.
type currentConfig struct {
	Offset   modeler.Offset   `json:"offset"`
	Document modeler.Document `json:"document,omitzero"`
	Operator string           `json:"operator,omitempty"`
	Time     time.Time        `json:"time,omitzero"`
}

// problemBody is the body of a refusal as application/problem+json (RFC 9457).
type problemBody struct {
	Outcome modeler.Outcome `json:"outcome"`
	Code    modeler.Code    `json:"code"`
	Detail  string          `json:"detail"`
	Retry   string          `json:"retry"`
}

// get sends a GET request and decodes the reply into value.
func (t Target) get(ctx context.Context, env Env, path, key string, value any) error {
	header := http.Header{}
	if key != "" {
		header.Set("Authorization", "Bearer "+key)
	}

	return t.send(ctx, env, http.MethodGet, path, header, nil, value)
}

// send sends a request and decodes the reply into value. It returns a
// *modeler.Refusal for a refusal, and errUnreachable if the request reached no
// instance.
func (t Target) send(ctx context.Context, env Env, method, path string, header http.Header, body, value any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(t.Server, "/")+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	req.Header = header
	req.Header.Set("Content-Type", "application/json")
	resp, err := env.Client.Do(req)
	if err != nil {
		return transportError(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return transportError(method, err)
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(method, resp.Status, answer)
	}

	return errors.Wrap(json.Unmarshal(answer, value), "decode answer")
}

// transportRefusal converts a failed exchange to a refusal. Only a failed
// connection attempt proves that a command was not carried out.
func transportRefusal(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || errors.As(err, &op) && op.Op == "dial" {
		return modeler.NotRun(modeler.CodeTimeout, time.Second, "%v", err)
	}

	return modeler.Unknown(modeler.CodeLostAnswer, time.Second, "%v", err)
}

// refusal decodes the body of a refusal. Any other body comes from an
// intermediary, such as the load balancer, and does not show whether a command
// was carried out.
func refusal(method, status string, body []byte) error {
	var problem problemBody
	if err := json.Unmarshal(body, &problem); err != nil || problem.Outcome == "" {
		if method == http.MethodGet {
			return modeler.NotRun(modeler.CodeInternal, time.Second, "the answer was %s", status)
		}

		return modeler.Unknown(modeler.CodeLostAnswer, time.Second, "the answer was %s", status)
	}
	retry, _ := time.ParseDuration(problem.Retry)

	return &modeler.Refusal{Outcome: problem.Outcome, Code: problem.Code, Detail: problem.Detail, Retry: retry}
}

// current returns the document in force, or offset -1 if there is none. key is
// the key of an operator.
func (t Target) current(ctx context.Context, env Env, key string) (currentConfig, error) {
	var reply currentConfig
	err := t.get(ctx, env, "/v1/config", key, &reply)
	if isCode(err, modeler.CodeStaleConfig) {
		return currentConfig{Offset: -1}, nil
	}

	return reply, err
}

// isCode reports whether err is a refusal with the given code.
func isCode(err error, code modeler.Code) bool {
	var refused *modeler.Refusal

	return errors.As(err, &refused) && refused.Code == code
}
