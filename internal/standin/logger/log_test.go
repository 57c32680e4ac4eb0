package logger

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gitlab.com/greengagewall/greengagewall/internal/platform/connector"
	"gitlab.com/greengagewall/greengagewall/internal/platform/messenger"
)

// TestRetention guards against offsets that change when old records are dropped.
func TestRetention(t *testing.T) {
	log := New(time.Minute, 100)
	begin := time.Unix(0, 0)
	for i := range 4 {
		log.Append("s", []byte{byte(i)}, begin.Add(time.Duration(i)*30*time.Second))
	}
	page, _ := log.Read("s", 0, 10, begin.Add(100*time.Second))
	if page.First != 2 || page.Next != 4 || len(page.Records) != 2 || page.Records[0].Offset != 2 {
		t.Errorf("got %+v, want records 2 and 3", page)
	}
}

func serve(t *testing.T, log *Log) (*Server, messenger.Log) {
	t.Helper()
	handler := NewServer(log)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	return handler, connector.NewLog(netip.MustParseAddrPort(server.Listener.Addr().String()))
}

// TestReadWaitAndRateLimit guards against a read that keeps waiting after a record
// was appended, and against appends above the rate limit.
func TestReadWaitAndRateLimit(t *testing.T) {
	_, client := serve(t, New(time.Hour, 4))
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, _ = client.Append(t.Context(), "s", []byte("x"))
	}()
	started := time.Now()
	page, err := client.Read(t.Context(), "s", 0, 10, 900*time.Millisecond)
	if err != nil || len(page.Records) != 1 || string(page.Records[0].Data) != "x" {
		t.Errorf("got %+v, %v", page, err)
	}
	if elapsed := time.Since(started); elapsed > 500*time.Millisecond {
		t.Errorf("read waited %s for a record appended after 20ms", elapsed)
	}
	failed := 0
	for range 10 {
		if _, err := client.Append(t.Context(), "s", nil); err != nil {
			failed++
		}
	}
	if failed < 5 {
		t.Errorf("%d of 10 appends at once failed with a limit of 4 per second, want at least 5", failed)
	}
}

// TestFaults guards against an outage that still carries out appends, and against
// a lost answer whose append had no effect.
func TestFaults(t *testing.T) {
	log := New(time.Hour, 100)
	server, client := serve(t, log)
	for _, c := range []struct {
		name   string
		faults string
		next   int64
	}{
		{"unavailable", `{"outage":"unavailable"}`, 0},
		{"refuse", `{"outage":"refuse"}`, 0},
		{"lose", `{"lose":1}`, 1},
	} {
		setFaults(t, server, c.faults)
		if _, err := client.Append(t.Context(), "s", nil); err == nil {
			t.Errorf("%s: append succeeded", c.name)
		}
		if page, _ := log.Read("s", 0, 1, time.Now()); int64(page.Next) != c.next {
			t.Errorf("%s: next offset is %d, want %d", c.name, page.Next, c.next)
		}
	}
}

func setFaults(t *testing.T, server *Server, faults string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, httptest.NewRequest("POST", "/control/faults", strings.NewReader(faults)))
	if recorder.Code != 200 {
		t.Fatal(recorder.Body)
	}
}
