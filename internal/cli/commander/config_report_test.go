package commander

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
	"gitlab.com/greengagewall/greengagewall/internal/report/burner"
	"gitlab.com/greengagewall/greengagewall/internal/report/reporter"
)

// exampleExport returns the records of a team whose last plume forecast started
// late.
func exampleExport(now time.Time) map[modeler.PartitionID][]modeler.Record {
	at := func(job modeler.JobID, event modeler.Event, age time.Duration) modeler.Record {
		return modeler.Record{Team: "forecasts", Queue: "plumes", Job: job, Event: event, Time: now.Add(-age)}
	}

	return map[modeler.PartitionID][]modeler.Record{
		"costa-1":  {at("1", modeler.EventAdmitted, time.Hour), at("1", modeler.EventStarted, time.Hour-time.Second)},
		"sierra-1": {at("2", modeler.EventAdmitted, time.Minute), at("2", modeler.EventStarted, 50*time.Second)},
	}
}

// serveReports serves the configuration and the other data that the reports
// read.
func (s *session) serveReports(w http.ResponseWriter, req *http.Request) {
	known := req.Header.Get("Authorization") == "Bearer secret"
	switch path := req.URL.Path; {
	case strings.HasPrefix(path, "/v1/config"):
		s.api.ServeHTTP(w, req)
	case path == "/v1/state":
		writeReply(w, reporter.State{Instance: modeler.Instance{ID: "entry-1"}, Config: s.api.offset, Peers: []modeler.Peer{
			{Instance: modeler.Instance{ID: "entry-2"}},
			{Instance: modeler.Instance{ID: "entry-3", Address: s.server.Listener.Addr().(*net.TCPAddr).AddrPort()}},
		}})
	case path == "/debug/vars":
		s.now = s.now.Add(time.Millisecond)
		writeReply(w, reporter.Vars{Process: &reporter.ProcessUsage{CPU: float64(s.now.UnixMilli()) / 1e4}})
	case path == "/v1/records" && known:
		writeReply(w, exampleExport(s.now))
	case path == "/v1/outcomes" && known:
		writeReply(w, []burner.Outcome{{Team: "health", Queue: "lookups", Time: s.now.Add(-time.Minute), Good: 99, Bad: 1}})
	default:
		writeRefusal(w, http.StatusUnauthorized, modeler.CodeUnknownKey, "unknown key")
	}
}

// TestReport_AllSources guards against reports that omit the records of a
// partition, the outcomes of calls that another instance received, or an
// instance that cannot be reached.
func TestReport_AllSources(t *testing.T) {
	s := newSession(t)
	s.mustExit(codeOK, "publish "+exampleDeployment)
	s.server.Config.Handler = http.HandlerFunc(s.serveReports)
	var out strings.Builder
	out.WriteString(s.mustExit(codeOK, "report burn --key secret"))
	out.WriteString(s.mustExit(codeOK, "report measures --key secret"))
	if out := s.mustExit(codeOK, "report burn --key secret --output json"); !strings.Contains(out, `"good": 198`) {
		t.Errorf("the calls of two instances are not added up: %s", out)
	}
	s.mustExit(codeRefused, "report burn --key other")
	s.mustExit(codeUsage, "report burn")
	if page := s.mustExit(codeOK, "report burn --key secret --output html"); !strings.Contains(page, "<svg") {
		t.Error("no plot in the page")
	}
	data, err := json.Marshal(exampleExport(s.now))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "export.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	exit, text := s.run("report burn --records " + path + " --at 2023-11-14T22:15:00Z " + exampleDeployment)
	if exit != codeOK {
		t.Errorf("exit %d offline: %s", exit, text)
	}
	out.WriteString("$ report burn --records export.json --at 2023-11-14T22:15:00Z " + exampleDeployment + "\n" + text)
	goldie.New(t).Assert(t, "reports", []byte(out.String()))
}
