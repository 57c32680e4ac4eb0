package storer

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// record encodes a record in the format of an append.
func record(value string) []byte {
	const key = "k"
	data := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	data = append(data, byte(len(key)))

	return append(append(data, key...), value...)
}

// post sends an append and returns the status, or 0 if there was no answer.
func post(t *testing.T, server *httptest.Server, query string, body []byte) int {
	t.Helper()
	response, err := http.Post(server.URL+"/v1/log-append?"+query, "", bytes.NewReader(body)) //nolint:noctx // The server is local.
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()

	return response.StatusCode
}

// TestConditionalAppends guards against a store that lets two owners append at the
// same offset. Such a store would hide the faults that the soak test looks for.
func TestConditionalAppends(t *testing.T) {
	store := New(func() float64 { return 1 })
	server := httptest.NewServer(store.Router("a"))
	defer server.Close()
	for _, step := range []struct {
		query string
		want  int
	}{
		{"topic=keyed.cell&part=0&at=0", http.StatusOK},
		{"topic=keyed.cell&part=0&at=0", http.StatusPreconditionFailed},
		{"topic=keyed.cell&part=0&at=1", http.StatusOK},
		{"topic=keyed.op&part=0", http.StatusForbidden},
	} {
		if status := post(t, server, step.query, record("v")); status != step.want {
			t.Errorf("append %s: status %d, want %d", step.query, status, step.want)
		}
	}
	if store.LastCaller() != "a" {
		t.Errorf("last caller %q, want a", store.LastCaller())
	}
}

// TestStoreFaults guards against faults that are set but have no effect.
func TestStoreFaults(t *testing.T) {
	store := New(func() float64 { return 0 })
	server := httptest.NewServer(store.Router("a"))
	defer server.Close()
	store.SetFaults(Faults{Unavailable: true})
	if status := post(t, server, "topic=t&at=0", record("v")); status != http.StatusServiceUnavailable {
		t.Errorf("unavailable store answered %d, want 503", status)
	}
	store.SetFaults(Faults{LostAnswerShare: 1})
	if status := post(t, server, "topic=t&at=0", record("v")); status != 0 {
		t.Errorf("append with a lost answer: status %d, want no answer", status)
	}
	store.SetFaults(Faults{LateShare: 1, LateDelay: 20 * time.Millisecond})
	if status := post(t, server, "topic=t&at=1", record("w")); status != 0 {
		t.Errorf("late append: status %d, want no answer", status)
	}
	store.SetFaults(Faults{})
	for end := int64(0); end != 2; time.Sleep(time.Millisecond) {
		_, _, end, _ = store.read("t", 0)
	}
	store.Truncate()
	response, err := http.Get(server.URL + "/v1/log-read?topic=t&from=0") //nolint:noctx // The server is local.
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if data, _ := io.ReadAll(response.Body); response.StatusCode != http.StatusGone {
		t.Errorf("read of a truncated offset: status %d, %s, want 410", response.StatusCode, data)
	}
}
