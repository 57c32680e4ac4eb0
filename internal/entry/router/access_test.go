package router

import (
	"net/http"
	"strings"
	"testing"

	"gitlab.com/greengagewall/greengagewall/internal/domain/modeler"
)

const (
	operatorKey = "Bearer amy-secret"
	emptyOn7    = `{"parent":7,"document":{"cell":"humo-andino"}}`
)

// guarded is a world whose configuration has an operator.
func guarded() *world {
	w := newWorld()
	w.doc.Operators = []modeler.Operator{{Name: "amy", Keys: []modeler.Key{
		{Name: "laptop", Digest: digest("amy-secret")}, {Name: "stolen", Digest: digest("amy-old-key"), Withdrawn: true},
	}}}
	for i := range w.loads {
		w.loads[i].Usage = map[modeler.TeamID]modeler.Resources{"apchf": {Millis: 1}}
		w.loads[i].Idle = map[modeler.TeamID]modeler.Resources{"apchf": {Millis: 1}}
	}

	return w
}

// TestRouter_OperatorKeys guards against a configuration that is read or
// published without the key of an operator.
func TestRouter_OperatorKeys(t *testing.T) {
	for _, c := range []struct {
		key    string
		status int
		code   modeler.Code
	}{
		{"", http.StatusUnauthorized, modeler.CodeBadKey},
		{"Bearer nobody-has-this", http.StatusUnauthorized, modeler.CodeUnknownKey},
		{"Bearer amy-old-key", http.StatusUnauthorized, modeler.CodeWithdrawnKey},
		{goodKey, http.StatusForbidden, modeler.CodeWrongTeam},
		{operatorKey, http.StatusOK, ""},
	} {
		w := guarded()
		for _, line := range []string{"GET /v1/config", "PUT /v1/config"} {
			got := w.send(line, emptyOn7, "Authorization", c.key, HeaderOperator, "mallory")
			if got.Code != c.status || !strings.Contains(got.Body.String(), string(c.code)) {
				t.Errorf("%s with %q: status %d: %s", line, c.key, got.Code, got.Body)
			}
		}
		if want := map[bool]string{true: "amy"}[c.status == http.StatusOK]; w.publisher != want {
			t.Errorf("with %q: published by %q, want %q", c.key, w.publisher, want)
		}
	}
}

// TestRouter_FirstDocument guards against a cell that cannot be set up, and
// against an instance without the configuration that takes any publication on
// top of a document that it has not read.
func TestRouter_FirstDocument(t *testing.T) {
	w := guarded()
	w.offset = -1
	got := w.send("PUT /v1/config", `{"parent":-1,"document":{"cell":"a"}}`)
	// The publisher of this world has offset 7 in force.
	if got.Code != http.StatusConflict {
		t.Errorf("first document: status %d: %s", got.Code, got.Body)
	}
	if got := w.send("PUT /v1/config", emptyOn7); got.Code != http.StatusServiceUnavailable || w.publisher != "" {
		t.Errorf("parent that was not read: status %d: %s", got.Code, got.Body)
	}
	w = newWorld()
	w.send("PUT /v1/config", emptyOn7, HeaderOperator, "bob")
	if w.publisher != "bob" {
		t.Errorf("without operators: published by %q", w.publisher)
	}
}

// TestRouter_State guards against usage of teams that everybody can read, and
// against a state that loses ownership and readiness without a key.
func TestRouter_State(t *testing.T) {
	w := guarded()
	for _, key := range []string{"", goodKey} {
		got := w.send("GET /v1/state", "", "Authorization", key).Body.String()
		if strings.Contains(got, "apchf") || !strings.Contains(got, `"partition":"costa-1","term":256,"ready":true`) {
			t.Errorf("with %q: %s", key, got)
		}
	}
	if got := w.send("GET /v1/state", "", "Authorization", operatorKey).Body.String(); !strings.Contains(got, `"usage":{"apchf"`) {
		t.Errorf("with the key of an operator: %s", got)
	}
}
