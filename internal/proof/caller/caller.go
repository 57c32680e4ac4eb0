// Package caller is a client of the product's HTTP API (section 4.5 of the
// design page) that keeps every answer for verification.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// problemType is the media type of a refusal (RFC 9457).
const problemType = "application/problem+json"

// Answer is what a caller got for a request.
type Answer struct {
	// Status is the HTTP status; zero if there was no answer.
	Status int
	// Outcome, Code, Detail and Retry are those of a refusal. A request
	// without an answer has the outcome unknown, or not run if no connection
	// was made.
	Outcome    modeler.Outcome
	Code       modeler.Code
	Detail     string
	RetryAfter time.Duration
	Body       []byte
	Header     http.Header
	// Sent is when the request was sent, Waited the time to the whole answer.
	Sent    time.Time
	Latency time.Duration
}

// OK reports whether the request was accepted.
func (a Answer) OK() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
}

// Problem is the body of a refusal.
type Problem struct {
	Detail     string          `json:"detail"`
	Outcome    modeler.Outcome `json:"outcome"`
	Code       modeler.Code    `json:"code"`
	RetryAfter string          `json:"retry"`
}

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	Queue   modeler.QueueID   `json:"queue"`
	Tasks   int               `json:"tasks"`
	Needs   modeler.Resources `json:"needs"`
	Runtime string            `json:"runtime,omitempty"`
	Once    bool              `json:"once,omitempty"`
	Rack    bool              `json:"rack,omitempty"`
	Command []string          `json:"command"`
}

// Client sends requests to entry instances.
type Client struct {
	http *http.Client
}

// New returns a client; timeout bounds one request. Connections are not kept,
// because every request may meet a restarted instance.
func New(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives: true,
	}}}
}

// Request is a request to an entry instance.
type Request struct {
	Method, Path string
	// Secret is the team's key, IdempotencyKey the Idempotency-IdempotencyKey; both may be empty.
	Secret, IdempotencyKey string
	Body                   []byte
}

// NewCallRequest returns the request of a call to a service.
func NewCallRequest(service, secret, key string, body []byte) Request {
	return Request{
		Method: http.MethodPost, Path: "/v1/services/" + url.PathEscape(service) + "/calls",
		Secret: secret, IdempotencyKey: key, Body: body,
	}
}

// NewSubmitRequest returns the request of a submission.
func NewSubmitRequest(job JobRequest, secret, key string) Request {
	body, _ := json.Marshal(job) // a JobRequest has no value that cannot be encoded

	return Request{Method: http.MethodPost, Path: "/v1/jobs", Secret: secret, IdempotencyKey: key, Body: body}
}

// NewResolveRequest returns the request that asks what became of a call.
func NewResolveRequest(secret, key string) Request {
	return Request{Method: http.MethodGet, Path: "/v1/requests/" + url.PathEscape(key), Secret: secret}
}

// NewGetRequest returns a GET request.
func NewGetRequest(path, secret string) Request {
	return Request{Method: http.MethodGet, Path: path, Secret: secret}
}

// Do sends a request once.
func (c *Client) Do(ctx context.Context, entry netip.AddrPort, request Request) Answer {
	answer := Answer{Sent: time.Now(), Outcome: modeler.OutcomeUnknown}
	resp, err := c.send(ctx, entry, request)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			answer.Outcome = modeler.OutcomeNotRun
		}
		answer.Detail, answer.Latency = err.Error(), time.Since(answer.Sent)

		return answer
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	answer.Latency = time.Since(answer.Sent)
	if err != nil {
		answer.Detail = err.Error()

		return answer
	}
	answer.Status, answer.Header, answer.Body, answer.Outcome = resp.StatusCode, resp.Header, body, ""
	if !answer.OK() {
		answer.refuse()
	}

	return answer
}

func (c *Client) send(ctx context.Context, entry netip.AddrPort, request Request) (*http.Response, error) {
	target := "http://" + entry.String() + request.Path
	req, err := http.NewRequestWithContext(ctx, request.Method, target, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	if request.Secret != "" {
		req.Header.Set("Authorization", "Bearer "+request.Secret)
	}
	if request.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}

	return c.http.Do(req)
}

// refuse reads the problem of an answer; one without a problem leaves the
// outcome unknown.
func (a *Answer) refuse() {
	a.Outcome = modeler.OutcomeUnknown
	var problem Problem
	kind, _, _ := mime.ParseMediaType(a.Header.Get("Content-Type"))
	if kind != problemType || json.Unmarshal(a.Body, &problem) != nil {
		a.Detail = string(a.Body)

		return
	}
	a.Outcome, a.Code, a.Detail = problem.Outcome, problem.Code, problem.Detail
	a.RetryAfter, _ = time.ParseDuration(problem.RetryAfter)
}
