package commander

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"gitlab.com/greengagewall/greengagewall/internal/config/parser"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/entry/router"
)

// processors is a number of processors in thousandths, parsed from text such as
// 0.5 or 16.
type processors int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *processors) UnmarshalText(text []byte) error {
	millis, err := parser.ParseProcessors(string(text))
	*p = processors(millis)

	return err
}

// memory is an amount of memory in bytes, parsed from text such as 64GiB.
type memory int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *memory) UnmarshalText(text []byte) error {
	bytes, err := parser.ParseMemory(string(text))
	*m = memory(bytes)

	return err
}

// SubmitCmd implements the submit command.
type SubmitCmd struct {
	Caller
	Job          string        `arg:"--job" help:"name of a job that the configuration declares, instead of --queue and what it needs"`
	Queue        string        `arg:"--queue" help:"queue of the job"`
	Tasks        int           `arg:"--tasks" help:"number of equal tasks (default: 1)"`
	Processors   processors    `arg:"--processors" help:"processors of a task, such as 0.5 or 16"`
	Memory       memory        `arg:"--memory" help:"memory of a task, such as 64GiB"`
	Accelerators int64         `arg:"--accelerators" help:"accelerators of a task"`
	Runtime      time.Duration `arg:"--runtime" help:"expected run time of a task"`
	Within       time.Duration `arg:"--within" help:"finish within this time (default: the queue's)"`
	Deadline     time.Time     `arg:"--deadline" help:"finish by this time in RFC 3339, instead of --within"`
	Once         bool          `arg:"--once" help:"never start a task a second time"`
	Rack         bool          `arg:"--rack" help:"place all tasks in one rack"`
	Attempts     int           `arg:"--attempts" help:"bound on the starts of a task (default and maximum: the queue's)"`
	RequestKey   string        `arg:"--request-key" help:"identifies the request; submitting again with the same key is safe (default: random)"`
	Wait         bool          `arg:"--wait" help:"wait until the job is final"`
	Command      []string      `arg:"positional" placeholder:"WORD" help:"command of a task; put -- before it"`
}

// submitResult is the JSON form of an accepted job.
type submitResult struct {
	modeler.SubmitReply
	Request string `json:"request"`
}

// Run submits the job and prints its id and the head digest of the team's
// records. With the digest the team can later prove that records were rewritten.
func (c *SubmitCmd) Run(ctx context.Context, env Env) (int, error) {
	ctx, cancel, err := c.withTimeout(ctx)
	defer cancel()
	if err != nil {
		return codeUsage, err
	}
	if (c.Job == "") == (c.Queue == "") {
		return codeUsage, errors.New("give either --job or --queue")
	}
	reply := submitResult{Request: c.RequestKey}
	if reply.Request == "" {
		reply.Request = uuid.NewString()
	}
	body, err := json.Marshal(c.body(env.Now()))
	if err != nil {
		return codeUsage, errors.Wrap(err, "encode job")
	}
	answer, err := c.exchange(ctx, env, request{method: http.MethodPost, path: "/v1/jobs", key: reply.Request, body: body})
	if err != nil {
		return codeOf(err), errors.WithMessagef(err, "request key %s", reply.Request)
	}
	if err := json.Unmarshal(answer.body, &reply.SubmitReply); err != nil {
		return codeUnknown, errors.Wrap(err, "decode answer")
	}
	if err := c.write(env.Out, reply, reply.text); err != nil || !c.Wait {
		return codeOf(err), err
	}

	return c.await(ctx, env, string(reply.Job))
}

func (c *SubmitCmd) body(now time.Time) router.JobRequest {
	deadline := c.Deadline
	if c.Within > 0 {
		deadline = now.Add(c.Within)
	}

	return router.JobRequest{
		Job: c.Job, Queue: modeler.QueueID(c.Queue), Tasks: c.Tasks,
		Needs: modeler.Resources{
			Millis: int64(c.Processors), Memory: int64(c.Memory), Accelerators: c.Accelerators,
		},
		Runtime: router.Duration(c.Runtime), Deadline: deadline, Once: c.Once, Rack: c.Rack,
		Attempts: c.Attempts, Command: c.Command,
	}
}

func (s submitResult) text(w io.Writer) error {
	p := printer{w: w}
	state := "accepted"
	if s.Duplicate {
		state = "was accepted before"
	}
	p.printf("job %s %s\nrequest key: %s\nrecord head: %s\n", s.Job, state, s.Request, s.Head)

	return p.err
}

// CancelCmd implements the cancel command.
type CancelCmd struct {
	Caller
	Job string `arg:"positional,required" help:"id of the job"`
}

// Run cancels the job.
func (c *CancelCmd) Run(ctx context.Context, env Env) (int, error) {
	ctx, cancel, err := c.withTimeout(ctx)
	defer cancel()
	if err != nil {
		return codeUsage, err
	}
	if _, err := c.exchange(ctx, env, request{method: http.MethodDelete, path: "/v1/jobs/" + url.PathEscape(c.Job)}); err != nil {
		return codeOf(err), err
	}

	return 0, c.write(env.Out, map[string]string{"cancelled": c.Job}, func(w io.Writer) error {
		p := printer{w: w}
		p.printf("job %s cancelled\n", c.Job)

		return p.err
	})
}

// CallCmd implements the call command.
type CallCmd struct {
	Caller
	Service    string `arg:"positional,required" help:"name of the service"`
	Body       string `arg:"--body" help:"body of the call; - reads it from the standard input"`
	RequestKey string `arg:"--request-key" help:"identifies the request (default: random)"`
}

// callResult is the JSON form of the reply to a call.
type callResult struct {
	Request   string `json:"request"`
	Endpoint  string `json:"endpoint"`
	Duplicate bool   `json:"duplicate,omitempty"`
	Answer    []byte `json:"answer"`
}

// Run makes the call. The text format prints the body of the reply unchanged.
func (c *CallCmd) Run(ctx context.Context, env Env) (int, error) {
	ctx, cancel, err := c.withTimeout(ctx)
	defer cancel()
	if err != nil {
		return codeUsage, err
	}
	body := []byte(c.Body)
	if c.Body == "-" {
		if body, err = io.ReadAll(os.Stdin); err != nil {
			return codeUsage, errors.Wrap(err, "read body")
		}
	}
	key := c.RequestKey
	if key == "" {
		key = uuid.NewString()
	}
	answer, err := c.exchange(ctx, env, request{
		method: http.MethodPost, path: "/v1/services/" + url.PathEscape(c.Service) + "/calls", key: key, body: body,
	})
	if err != nil {
		return codeOf(err), errors.WithMessagef(err, "request key %s", key)
	}
	reply := callResult{
		Request: key, Endpoint: answer.header.Get(router.HeaderEndpoint),
		Duplicate: answer.header.Get(router.HeaderDuplicate) != "", Answer: answer.body,
	}

	return 0, c.write(env.Out, reply, func(w io.Writer) error {
		_, err := w.Write(answer.body)

		return errors.Wrap(err, "write answer")
	})
}
