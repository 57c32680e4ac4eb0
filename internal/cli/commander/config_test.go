package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/config/checker"
	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

// fakeAPI implements the configuration part of the HTTP API.
type fakeAPI struct {
	doc      modeler.Document
	offset   modeler.Offset
	operator string
	// beforePublish runs once, before the next publication is applied.
	beforePublish func()
	// lag is the number of replies in which the second instance reports the
	// previous offset.
	lag int
	// dropAnswer makes the next publication take effect and aborts its reply.
	dropAnswer bool
}

func (a *fakeAPI) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch req.Method + " " + req.URL.Path {
	case "GET /v1/config":
		if a.offset < 0 {
			writeRefusal(w, http.StatusServiceUnavailable, modeler.CodeStaleConfig, "no configuration")

			return
		}
		writeReply(w, currentConfig{Offset: a.offset, Document: a.doc, Operator: a.operator, Time: time.Unix(1_700_000_000, 0)})
	case "PUT /v1/config":
		a.publish(w, req)
	case "GET /v1/config/offsets":
		second := a.offset
		if a.lag--; a.lag >= 0 {
			second--
		}
		writeReply(w, []instanceOffset{{Instance: "entry-1", Offset: a.offset}, {Instance: "entry-2", Offset: second}})
	default:
		writeRefusal(w, http.StatusNotFound, modeler.CodeNotFound, req.URL.Path)
	}
}

func (a *fakeAPI) publish(w http.ResponseWriter, req *http.Request) {
	if beforePublish := a.beforePublish; beforePublish != nil {
		a.beforePublish = nil
		beforePublish()
	}
	var body publishRequest
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		writeRefusal(w, http.StatusBadRequest, modeler.CodeBadRequest, err.Error())
	} else if body.Parent != a.offset {
		writeRefusal(w, http.StatusConflict, modeler.CodeConflict, "another document is in force")
	} else {
		a.doc, a.offset, a.operator = body.Document, a.offset+1, req.Header.Get(operatorHeader)
		if a.dropAnswer {
			panic(http.ErrAbortHandler)
		}
		writeReply(w, currentConfig{Offset: a.offset})
	}
}

func writeReply(w http.ResponseWriter, body any) { _ = json.NewEncoder(w).Encode(body) }

func writeRefusal(w http.ResponseWriter, status int, code modeler.Code, detail string) {
	w.WriteHeader(status)
	writeReply(w, problemBody{Outcome: modeler.OutcomeNotRun, Code: code, Detail: detail})
}

// operatorCommands declares the commands of operators.
type operatorCommands struct {
	Check   *CheckCmd   `arg:"subcommand:check"`
	Render  *RenderCmd  `arg:"subcommand:render"`
	Diff    *DiffCmd    `arg:"subcommand:diff"`
	Publish *PublishCmd `arg:"subcommand:publish"`
	Offsets *OffsetsCmd `arg:"subcommand:offsets"`
	Key     *KeyCmd     `arg:"subcommand:key"`
	Report  *ReportCmd  `arg:"subcommand:report"`
}

// session runs command lines against a fakeAPI with a virtual clock.
type session struct {
	t      *testing.T
	api    *fakeAPI
	server *httptest.Server
	now    time.Time
}

func newSession(t *testing.T) *session {
	s := &session{t: t, api: &fakeAPI{offset: -1}, now: time.Unix(1_700_000_100, 0)}
	s.server = httptest.NewServer(s.api)
	t.Cleanup(s.server.Close)

	return s
}

// run runs a command line and returns its exit code and its combined output.
func (s *session) run(line string) (int, string) {
	s.t.Helper()
	var args operatorCommands
	parser, err := arg.NewParser(arg.Config{}, &args)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := parser.Parse(strings.Fields(line)); err != nil {
		s.t.Fatal(err)
	}
	var out bytes.Buffer
	env := Env{
		Out: &out, Err: &out, Client: s.server.Client(), Now: func() time.Time { return s.now },
		Sleep: func(_ context.Context, pause time.Duration) { s.now = s.now.Add(pause) },
	}
	exit, err := parser.Subcommand().(interface {
		Run(ctx context.Context, env Env) (int, error)
	}).Run(context.Background(), env)
	if err != nil {
		out.WriteString("error: " + err.Error() + "\n")
	}

	return exit, out.String()
}

// mustExit runs a command line, fails the test on another exit code and returns
// the line with its output.
func (s *session) mustExit(exit int, line string) string {
	s.t.Helper()
	got, out := s.run(line + " --server " + s.server.URL)
	if got != exit {
		s.t.Fatalf("%s: exit %d, want %d\n%s", line, got, exit, out)
	}

	return "$ " + line + "\n" + out
}

const exampleDeployment = "--deployment ../../../examples/humo-andino"

// TestOperatorCommands guards against commands that publish something other than
// they print, or that do not report a conflict or a lagging instance.
func TestOperatorCommands(t *testing.T) {
	s := newSession(t)
	var out strings.Builder
	step := func(exit int, line string) { out.WriteString(s.mustExit(exit, line)) }
	first := s.mustExit(codeOK, "publish "+exampleDeployment+" --site costa --operator amy")
	if !strings.HasSuffix(first, "published at offset 0\n") || checker.Check(s.api.doc) != nil {
		t.Fatalf("not published: %s", first)
	}
	step(codeNegative, "diff "+exampleDeployment)
	step(codeNegative, "diff "+exampleDeployment+" --output json")
	s.api.beforePublish = func() {
		s.api.doc.Cell, s.api.operator = "other", "bob"
		s.api.offset++
	}
	step(codeConflict, "publish "+exampleDeployment+" --operator amy")
	s.api.doc.Cell = "humo-andino"
	step(codeConflict, "publish "+exampleDeployment+" --parent 0")
	s.api.lag = 2
	step(codeOK, "publish "+exampleDeployment+" --operator amy --wait 5s")
	step(codeOK, "diff "+exampleDeployment)
	s.api.lag = 100
	step(codeNegative, "offsets --wait 1s")
	step(codeUnknown, "publish "+exampleDeployment+" --wait 1s --output json")
	s.api.lag = 0
	step(codeOK, "offsets --output json")
	goldie.New(t).Assert(t, "operator", []byte(out.String()))
}

// TestKeys guards against a withdrawal that overwrites another operator's change,
// and against a publication from outdated files that undoes the withdrawal.
func TestKeys(t *testing.T) {
	s := newSession(t)
	s.mustExit(codeOK, "publish "+exampleDeployment)
	var out strings.Builder
	step := func(exit int, line string) { out.WriteString(s.mustExit(exit, line)) }
	s.api.beforePublish = func() {
		s.api.doc.Partitions[0].Weight = 9
		s.api.offset++
	}
	step(codeOK, "key withdraw health lima")
	if s.api.doc.Partitions[0].Weight != 9 || !s.api.doc.Teams[2].Keys[0].Withdrawn {
		t.Errorf("got %+v", s.api.doc)
	}
	digest := strings.Repeat("ab", 32)
	step(codeOK, "key grant health piura --digest "+digest+" --output json")
	step(codeUsage, "key grant health piura --digest "+digest)
	step(codeUsage, "key grant schools second --digest "+digest)
	step(codeUsage, "key withdraw health nobody")
	step(codeUsage, "key withdraw nobody lima")
	operator := strings.Repeat("cd", 32)
	step(codeOK, "key grant amy laptop --holder operator --digest "+operator)
	step(codeOK, "key withdraw cartographer demo --holder operator")
	step(codeUsage, "key withdraw amy laptop --holder operator")
	step(codeUsage, "key withdraw amy laptop --holder group")
	step(codeRefused, "publish "+exampleDeployment)
	goldie.New(t).Assert(t, "keys", []byte(out.String()))
	s.mustExit(codeOK, "publish "+exampleDeployment+" --reinstate")
	_, text := s.run("key new health")
	if parts := strings.Fields(text); len(parts) != 4 || !strings.HasPrefix(parts[1], "ggw_health_") || len(parts[3]) != 64 {
		t.Errorf("new key: %q", text)
	}
}

// TestPublish_LostAnswer guards against a publication that is reported as not
// carried out although only its reply was lost.
func TestPublish_LostAnswer(t *testing.T) {
	s := newSession(t)
	s.api.dropAnswer = true
	s.mustExit(codeUnknown, "publish "+exampleDeployment)
	s.server.Close()
	s.mustExit(codeUnreachable, "publish "+exampleDeployment)
}

// TestCheck_Files guards against invalid files that pass, and against problems
// without a position.
func TestCheck_Files(t *testing.T) {
	s := newSession(t)
	var out strings.Builder
	for _, line := range []string{"check " + exampleDeployment, "check --deployment ../../../examples/brine-ledger --output json"} {
		exit, text := s.run(line)
		out.WriteString(text)
		if exit != codeOK {
			t.Errorf("%s: exit %d", line, exit)
		}
	}
	base, err := os.ReadFile("../../../examples/humo-andino/base.yaml")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "base.yaml")
	invalid := strings.ReplaceAll(string(base), "queue: lookups", "queue: lookup")
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(invalid, "team: public", "team: nobody")), 0o600); err != nil {
		t.Fatal(err)
	}
	exit, text := s.run("check --base " + path)
	out.WriteString(strings.ReplaceAll(text, path, "base.yaml"))
	if exit != codeUsage {
		t.Errorf("exit %d for invalid files", exit)
	}
	_, text = s.run("render --deployment ../../../examples/brine-ledger")
	out.WriteString(text)
	goldie.New(t).Assert(t, "files", []byte(out.String()))
}
