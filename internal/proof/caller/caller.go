// Package caller is a client of the HTTP API of entry instances (section 4.5 of
// the design page). It records every answer for verification.
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

// problemMediaType is the media type of a refusal (RFC 9457).
const problemMediaType = "application/problem+json"

// Answer is the result of sending a request once.
type Answer struct {
	// Status is the HTTP status; zero if there was no answer.
	Status int
	// Outcome, Code, Detail and RetryAfter are those of a refusal. Without an
	// answer, the outcome is unknown, or not run if no connection was made.
	Outcome    modeler.Outcome
	Code       modeler.Code
	Detail     string
	RetryAfter time.Duration
	Body       []byte
	Header     http.Header
	// Sent is when the request was sent, Latency the time until the answer was
	// read to its end.
	Sent    time.Time
	Latency time.Duration
}

// OK reports whether the request was accepted.
func (a Answer) OK() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
}

// Problem is the body of a refusal, a problem document of RFC 9457.
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

// New returns a client; timeout bounds one request. Connections are not reused,
// because the instance may have been restarted between two requests.
func New(timeout time.Duration) *Client {
	return &Client{http: &http.Client{Timeout: timeout, Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives: true,
	}}}
}

// Request is a request to an entry instance.
type Request struct {
	Method, Path string
	// Secret is the secret of the team's key, IdempotencyKey the value of the
	// Idempotency-Key header; both may be empty.
	Secret, IdempotencyKey string
	Body                   []byte
}

// NewCallRequest returns the request that calls a service.
func NewCallRequest(service, secret, key string, body []byte) Request {
	return Request{
		Method: http.MethodPost, Path: "/v1/services/" + url.PathEscape(service) + "/calls",
		Secret: secret, IdempotencyKey: key, Body: body,
	}
}

// NewSubmitRequest returns the request that submits a job.
func NewSubmitRequest(job JobRequest, secret, key string) Request {
	body, _ := json.Marshal(job) // every JobRequest can be encoded

	return Request{Method: http.MethodPost, Path: "/v1/jobs", Secret: secret, IdempotencyKey: key, Body: body}
}

// NewResolveRequest returns the request that asks for the outcome of a call.
func NewResolveRequest(secret, key string) Request {
	return Request{Method: http.MethodGet, Path: "/v1/requests/" + url.PathEscape(key), Secret: secret}
}

// NewGetRequest returns a GET request.
func NewGetRequest(path, secret string) Request {
	return Request{Method: http.MethodGet, Path: path, Secret: secret}
}

// Do sends a request once, without retries. Errors are part of the answer.
func (c *Client) Do(ctx context.Context, entry netip.AddrPort, request Request) Answer {
	answer := Answer{Sent: time.Now(), Outcome: modeler.OutcomeUnknown}
	resp, err := c.send(ctx, entry, request)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
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
		answer.parseProblem()
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

// parseProblem reads the problem document of a refusal. The outcome of a refusal
// without one is unknown.
func (a *Answer) parseProblem() {
	a.Outcome = modeler.OutcomeUnknown
	var problem Problem
	mediaType, _, _ := mime.ParseMediaType(a.Header.Get("Content-Type"))
	if mediaType != problemMediaType || json.Unmarshal(a.Body, &problem) != nil {
		a.Detail = string(a.Body)

		return
	}
	a.Outcome, a.Code, a.Detail = problem.Outcome, problem.Code, problem.Detail
	a.RetryAfter, _ = time.ParseDuration(problem.RetryAfter)
}
