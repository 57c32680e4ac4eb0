package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/record/chainer"
)

// execute runs a command line and returns its exit code and its combined output.
func execute(line string) (int, string) {
	var out bytes.Buffer
	env := Env{
		Out: &out, Err: &out, Client: &http.Client{}, Now: func() time.Time { return time.Unix(1_700_000_000, 0) },
		Sleep: func(context.Context, time.Duration) {},
	}
	code := run(context.Background(), "v1.2.3", strings.Fields(line), env)

	return code, out.String()
}

// TestServe_Settings guards against a start with an invalid address or setting,
// and against an error that does not name the flag, its value and what is
// allowed.
func TestServe_Settings(t *testing.T) {
	valid := map[string]string{
		"--listen": "127.0.0.1:8080", "--peer": "127.0.0.1:8081", "--log": "127.0.0.1:1", "--list": "127.0.0.1:2",
		"--region": "costa", "--zone": "costa-a",
	}
	cases := []struct{ flag, value, allowed string }{
		{"--listen", "localhost:8080", "IP:port"},
		{"--listen", "127.0.0.1", "IP:port"},
		{"--listen", "127.0.0.1:0", "port of 1 to 65535"},
		{"--listen", "127.0.0.1:65536", "port of 1 to 65535"},
		{"--peer", "entry-1:8081", "IP:port"},
		{"--peer", "0.0.0.0:8081", "address of one interface"},
		{"--log", "http://127.0.0.1:1", "IP:port"},
		{"--list", "[::1:2", "IP:port"},
		{"--log-level", "loud", "trace, debug, info, warn or error"},
		{"--log-format", "xml", "text or json"},
		{"--retention", "1s", "at least 1m"},
		{"--inflight", "0", "at least 1"},
		{"--hedge", "-1s", "not be negative"},
		{"--drain", "0s", "positive"},
	}
	for _, c := range cases {
		line := "serve " + c.flag + "=" + c.value
		for flag, value := range valid {
			if flag != c.flag {
				line += " " + flag + "=" + value
			}
		}
		code, out := execute(line)
		if code != codeUsage || !strings.Contains(out, c.flag) || !strings.Contains(out, c.value) || !strings.Contains(out, c.allowed) {
			t.Errorf("%s=%s: exit code %d: %s", c.flag, c.value, code, out)
		}
	}
	t.Setenv("GREENGAGEWALL_LOG", "log.example:1")
	code, out := execute("serve --listen 127.0.0.1:8080")
	if code != codeUsage || !strings.Contains(out, "GREENGAGEWALL_LOG") || !strings.Contains(out, "log.example:1") {
		t.Errorf("environment: exit code %d: %s", code, out)
	}
}

// records returns a verifiable chain.
func records(t *testing.T) []modeler.Record {
	t.Helper()
	chain := make([]modeler.Record, 0, 3)
	for n, event := range []modeler.Event{modeler.EventAdmitted, modeler.EventPlaced, modeler.EventFailed} {
		record := modeler.Record{
			Seq: uint64(n + 1), Time: time.Unix(1_700_000_000, int64(n)), Partition: "costa-1", Team: "apchf",
			Job: "j-1", Event: event, Cause: "capacity", Term: modeler.NewTerm(1, 0),
		}
		head := ""
		if n > 0 {
			head = chain[n-1].Digest
		}
		if err := chainer.Append(head, &record); err != nil {
			t.Fatal(err)
		}
		chain = append(chain, record)
	}

	return chain
}

// newAPI returns a server that answers like an instance with one failed job.
func newAPI(t *testing.T) *httptest.Server {
	t.Helper()
	chain := records(t)
	answers := map[string]any{
		"GET /v1/jobs/j-1": modeler.JobStatus{
			Job: modeler.Job{ID: "j-1", Team: "apchf", Queue: "forecasts"}, Partition: "costa-1", Final: true,
			Tasks: []modeler.TaskStatus{{Task: "j-1/0", State: modeler.TaskFailed, Attempt: 3, Endpoint: "w-7", Cause: "exit 1"}},
		},
		"GET /v1/jobs/j-1/records": chain,
		"GET /v1/records":          chains{"costa-1": chain},
		"GET /v1/requests/lot-7":   modeler.ResolveReply{Request: "lot-7", Outcome: modeler.OutcomeNotRun},
		"GET /v1/requests/lot-8":   modeler.ResolveReply{Request: "lot-8", Outcome: modeler.OutcomeUnknown},
		"DELETE /v1/jobs/j-1":      nil,
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		line := req.Method + " " + req.URL.Path
		switch answer, ok := answers[line]; {
		case req.Header.Get("Authorization") != "Bearer team-key":
			w.WriteHeader(http.StatusUnauthorized)
			writeReply(w, problemBody{Outcome: modeler.OutcomeNotRun, Code: modeler.CodeBadKey, Detail: "no key"})
		case ok:
			writeReply(w, answer)
		case line == "POST /v1/jobs" && json.Valid(body):
			writeReply(w, modeler.SubmitReply{Job: "j-1", Head: chain[0].Digest})
		case line == "POST /v1/services/echo/calls":
			_, _ = w.Write(body)
		case line == "POST /v1/services/recall/calls":
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(http.StatusNotFound)
			writeReply(w, problemBody{Outcome: modeler.OutcomeNotRun, Code: modeler.CodeNotFound, Detail: line})
		}
	}))
	t.Cleanup(server.Close)

	return server
}

// TestCallerCommands guards against exit codes that do not show a refusal, an
// unknown outcome or a failure, and against changes of the output.
func TestCallerCommands(t *testing.T) {
	server := newAPI(t)
	file := filepath.Join(t.TempDir(), "records.json")
	cases := []struct {
		line string
		code int
	}{
		{"submit --queue forecasts --processors 2 --memory 4GiB --request-key r -- run 1s", 0},
		{"submit --queue forecasts --processors 2 --request-key r --wait", codeFailed},
		{"submit --processors 2", codeUsage},
		{"submit --queue forecasts --memory 4GB", codeUsage},
		{"status j-1", 0},
		{"status j-2", codeRefused},
		{"wait j-1 --output json", codeFailed},
		{"cancel j-1", 0},
		{"call echo --body lima --request-key r", 0},
		{"call echo --body lima --request-key r --output json", 0},
		{"call recall --request-key r", codeUnknown},
		{"resolve lot-7", codeRefused},
		{"resolve lot-8", codeUnknown},
		{"explain j-1", 0},
		{"export --file FILE", 0},
		{"verify FILE", 0},
		{"verify FILE --head HEAD", 0},
		{"verify FILE --head 00", codeFailed},
		{"version", 0},
		{"status", codeUsage},
		{"", codeUsage},
	}
	var text strings.Builder
	names := strings.NewReplacer("FILE", file, "HEAD", records(t)[1].Digest)
	for _, c := range cases {
		line := names.Replace(c.line)
		if verb, _, _ := strings.Cut(line, " "); verb != "verify" && verb != "version" && verb != "" {
			line = verb + " --server " + server.URL + " --key team-key" + strings.TrimPrefix(line, verb)
		}
		code, out := execute(line)
		if code != c.code {
			t.Errorf("%s: exit code %d, want %d\n%s", c.line, code, c.code, out)
		}
		out = strings.NewReplacer(file, "FILE", server.URL, "URL").Replace(out)
		text.WriteString("$ " + c.line + "\n" + out)
	}
	goldie.New(t).Assert(t, "callers", []byte(text.String()))
	server.Close()
	if code, out := execute("status j-1 --key team-key --server " + server.URL); code != codeUnreachable {
		t.Errorf("without an instance: exit code %d: %s", code, out)
	}
}

// TestVerify_ChangedRecord guards against a chain that still verifies after a
// record was rewritten.
func TestVerify_ChangedRecord(t *testing.T) {
	chain := records(t)
	chain[1].Cause = "share"
	data, err := json.Marshal(chains{"costa-1": chain})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "records.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out := execute("verify " + file); code != codeFailed || !strings.Contains(out, "record 2 was changed") {
		t.Errorf("exit code %d: %s", code, out)
	}
}
