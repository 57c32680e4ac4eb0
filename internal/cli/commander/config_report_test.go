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

// export is the export of a team whose last plume forecast started late.
func export(now time.Time) map[modeler.PartitionID][]modeler.Record {
	at := func(job modeler.JobID, event modeler.Event, age time.Duration) modeler.Record {
		return modeler.Record{Team: "forecasts", Queue: "plumes", Job: job, Event: event, Time: now.Add(-age)}
	}

	return map[modeler.PartitionID][]modeler.Record{
		"costa-1":  {at("1", modeler.EventAdmitted, time.Hour), at("1", modeler.EventStarted, time.Hour-time.Second)},
		"sierra-1": {at("2", modeler.EventAdmitted, time.Minute), at("2", modeler.EventStarted, 50*time.Second)},
	}
}

// reports serves what the reports read beside the configuration.
func (s *session) reports(w http.ResponseWriter, req *http.Request) {
	known := req.Header.Get("Authorization") == "Bearer secret"
	switch path := req.URL.Path; {
	case strings.HasPrefix(path, "/v1/config"):
		s.api.ServeHTTP(w, req)
	case path == "/v1/state":
		reply(w, reporter.State{Instance: modeler.Instance{ID: "entry-1"}, Config: s.api.offset, Peers: []modeler.Peer{
			{Instance: modeler.Instance{ID: "entry-2"}},
			{Instance: modeler.Instance{ID: "entry-3", Address: s.server.Listener.Addr().(*net.TCPAddr).AddrPort()}},
		}})
	case path == "/debug/vars":
		s.now = s.now.Add(time.Millisecond)
		reply(w, reporter.Vars{Process: &reporter.ProcessUsage{CPU: float64(s.now.UnixMilli()) / 1e4}})
	case path == "/v1/records" && known:
		reply(w, export(s.now))
	case path == "/v1/outcomes" && known:
		reply(w, []burner.Outcome{{Team: "health", Queue: "lookups", Time: s.now.Add(-time.Minute), Good: 99, Bad: 1}})
	default:
		refuse(w, http.StatusUnauthorized, modeler.CodeUnknownKey, "unknown key")
	}
}

// TestReports guards against reports that miss the records of a partition, the
// outcomes of the calls that one instance took, or an instance that cannot be
// reached.
func TestReports(t *testing.T) {
	s := newSession(t)
	s.wants(codeOK, "publish "+humo)
	s.server.Config.Handler = http.HandlerFunc(s.reports)
	var out strings.Builder
	out.WriteString(s.wants(codeOK, "report burn --key secret"))
	out.WriteString(s.wants(codeOK, "report measures --key secret"))
	if out := s.wants(codeOK, "report burn --key secret --output json"); !strings.Contains(out, `"good": 198`) {
		t.Errorf("the calls of two instances are not added up: %s", out)
	}
	s.wants(codeRefused, "report burn --key other")
	s.wants(codeUsage, "report burn")
	if page := s.wants(codeOK, "report burn --key secret --output html"); !strings.Contains(page, "<svg") {
		t.Error("no plot in the page")
	}
	data, err := json.Marshal(export(s.now))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "export.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	exit, text := s.run("report burn --records " + path + " --at 2023-11-14T22:15:00Z " + humo)
	if exit != codeOK {
		t.Errorf("exit %d offline: %s", exit, text)
	}
	out.WriteString("$ report burn --records export.json --at 2023-11-14T22:15:00Z " + humo + "\n" + text)
	goldie.New(t).Assert(t, "reports", []byte(out.String()))
}
